"""Requests of targets and operators, and the responses to them."""

import enum

import msgspec

from tamarack_core import configuration
from tamarack_core import external_requests
from tamarack_core import refusal


class TargetState(enum.StrEnum):
    """State that a target announces."""

    READY = "ready"
    DRAINING = "draining"


class Announce(msgspec.Struct, frozen=True, tag="announce"):
    """A target announces itself or renews its lease.

    Attributes:
        service: Service that the target belongs to.
        address: IP address of the target.
        domain: Failure domain of the target.
        state: Ready or draining.
        slots: Work units that the target runs at once.
        connections: Connections that the target can hold.
        incarnation: Number that rises when the target restarts.
        lease_s: Seconds until the announcement expires unless renewed.
        load: Work units that the target says are in use; advice only.
        healthy: Health that the target states; advice only.
    """

    service: str
    address: str
    domain: str
    state: TargetState = TargetState.READY
    slots: int = 1
    connections: int = 1000
    incarnation: int = 0
    lease_s: float = 10.0
    load: float = 0.0
    healthy: bool = True


class SubmitPatch(msgspec.Struct, frozen=True, tag="submit-patch"):
    """An operator submits a JSON patch (RFC 6902).

    Attributes:
        patch_id: Identifier chosen by the operator; a resend repeats it.
        base_version: Version that the patch was written against.
        operations: The patch as encoded JSON.
        author: Who submits it.
        note: Why, in a sentence.
        is_resend: Whether an earlier sending may have been left without a
            verdict. A host can then no longer be certain that the patch is
            not accepted, and says unknown in place of no-quorum.
    """

    patch_id: str
    base_version: int
    operations: msgspec.Raw
    author: str
    note: str = ""
    is_resend: bool = False


class ReadConfiguration(msgspec.Struct, frozen=True, tag="read-configuration"):
    """An operator reads the newest accepted configuration."""


class ReadLog(msgspec.Struct, frozen=True, tag="read-log"):
    """An operator reads the accepted patches.

    Attributes:
        after: Only patches later than this version.
    """

    after: int = 0


class ReadRollout(msgspec.Struct, frozen=True, tag="read-rollout"):
    """An operator reads which version is in force at the hosts downstream."""


class MemberAction(enum.StrEnum):
    """What an operator does with a control host."""

    ADD = "add"
    PROMOTE = "promote"
    REMOVE = "remove"


class ReadMembers(msgspec.Struct, frozen=True, tag="read-members"):
    """An operator reads the members of the replicated log."""


class ChangeMember(msgspec.Struct, frozen=True, tag="change-member"):
    """An operator changes one member; the leader alone can do it.

    Attributes:
        action: What to do.
        host: Name of the control host.
        incarnation: Which of its data folders; needed only where the host is
            known under more than one.
    """

    action: MemberAction
    host: str
    incarnation: str = ""


class ReadStatus(msgspec.Struct, frozen=True, tag="read-status"):
    """An operator reads the state of this host."""


class ReadTargets(msgspec.Struct, frozen=True, tag="read-targets"):
    """An operator reads the targets that this host knows.

    Attributes:
        service: Only this service; empty for all.
    """

    service: str = ""


class ReadFlows(msgspec.Struct, frozen=True, tag="read-flows"):
    """An operator reads the open flows that this host knows.

    Attributes:
        service: Only this service; empty for all.
        target: Only this target, by IP address in text form; empty for all.
        limit: Most flows to answer with.
    """

    service: str = ""
    target: str = ""
    limit: int = 100


Request = (
    Announce
    | external_requests.Request
    | SubmitPatch
    | ReadConfiguration
    | ReadLog
    | ReadRollout
    | ReadMembers
    | ChangeMember
    | ReadStatus
    | ReadTargets
    | ReadFlows
)


Refused = refusal.Refused


class Announced(msgspec.Struct, frozen=True, tag="announced"):
    """The announcement is accepted.

    Attributes:
        lease_s: Seconds until the lease expires.
    """

    lease_s: float


class PatchState(enum.StrEnum):
    """Verdict on a patch."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    NO_QUORUM = "no-quorum"
    UNKNOWN = "unknown"


class PatchVerdict(msgspec.Struct, frozen=True, tag="patch-verdict"):
    """Answer to a patch.

    Attributes:
        state: The verdict.
        version: Version that the patch made or conflicts with; 0 if neither.
        path: JSON pointer of the invalid value, if any.
        reason: Sentence for the operator.
        author: Author of the conflicting patch, if any.
        changed: JSON pointers that the conflicting patches changed.
    """

    state: PatchState
    version: int = 0
    path: str = ""
    reason: str = ""
    author: str = ""
    changed: tuple[str, ...] = ()


class ConfigurationRead(msgspec.Struct, frozen=True, tag="configuration-read"):
    """Answer to `ReadConfiguration`.

    Attributes:
        numbered: The newest accepted configuration.
    """

    numbered: configuration.Numbered


class LogEntry(msgspec.Struct, frozen=True):
    """One accepted patch; it was written on top of the version before.

    Attributes:
        version: Version that the patch made.
        patch_id: Identifier of the patch.
        author: Who submitted it.
        note: Why.
        time_ms: Wall-clock time in ms at which it was accepted.
        changed: JSON pointers that it changed, the first of them.
        operations: The patch as encoded JSON.
    """

    version: int
    patch_id: str
    author: str
    note: str
    time_ms: int
    changed: tuple[str, ...]
    operations: msgspec.Raw


class LogRead(msgspec.Struct, frozen=True, tag="log-read"):
    """Answer to `ReadLog`.

    Attributes:
        version: The newest version.
        entries: The patches in order; the oldest may be forgotten.
    """

    version: int
    entries: tuple[LogEntry, ...]


class HostVersion(msgspec.Struct, frozen=True):
    """Version in force at a host, as it last said.

    Attributes:
        host: Name of the host.
        domain: Failure domain of the host.
        version: Version in force there.
        since_ms: Wall-clock time in ms at which it came into force there.
        age_ms: Milliseconds since the host said so.
    """

    host: str
    domain: str
    version: int
    since_ms: int
    age_ms: int


class RolloutRead(msgspec.Struct, frozen=True, tag="rollout-read"):
    """Answer to `ReadRollout`.

    Attributes:
        version: Version in force at the answering host.
        hosts: Hosts that asked the answering host for versions.
    """

    version: int
    hosts: tuple[HostVersion, ...]


class MemberState(enum.StrEnum):
    """Part that a control host takes in the replicated log."""

    VOTER = "voter"
    LEARNER = "learner"
    WAITING = "waiting"


class Member(msgspec.Struct, frozen=True):
    """A control host under one of its data folders.

    Attributes:
        host: Name of the host.
        domain: Failure domain of the host.
        endpoint: Address and port to ask it at.
        incarnation: Identifier of its data folder.
        state: Its part in the log; waiting if it has none.
    """

    host: str
    domain: str
    endpoint: str
    incarnation: str
    state: MemberState


class MembersRead(msgspec.Struct, frozen=True, tag="members-read"):
    """Answer to `ReadMembers`, as far as the answering host knows.

    Attributes:
        leader: Name of the leader; empty if none is known.
        members: The members, and the hosts that wait.
    """

    leader: str
    members: tuple[Member, ...]


class MemberChangeStarted(
    msgspec.Struct, frozen=True, tag="member-change-started"
):
    """The change is in the log; read the members to see it take effect."""


class StatusRead(msgspec.Struct, frozen=True, tag="status-read"):
    """Answer to `ReadStatus`.

    Attributes:
        host: Name of the host.
        domain: Failure domain of the host.
        roles: Roles of the host.
        version: Configuration version in force.
        since_ms: Wall-clock time at which it came into force, in ms.
        members: Hosts that this host holds to be alive.
        targets: Targets with a valid lease.
        flows: Open flows that this host knows.
        counters: Counters by name.
    """

    host: str
    domain: str
    roles: tuple[str, ...]
    version: int
    since_ms: int
    members: tuple[str, ...]
    targets: int
    flows: int
    counters: dict[str, int]


class TargetView(msgspec.Struct, frozen=True):
    """What a host knows of a target.

    Attributes:
        address: IP address of the target.
        service: Service that it belongs to.
        domain: Failure domain of the target.
        state: State that it announced.
        is_expired: Whether its lease has run out.
        slots: Work units that it runs at once.
        active: Work units that occupy slots, over all hosts that report.
        held: Work units of open long-lived connections, likewise.
        owned_flows: Open flows that this host owns.
    """

    address: str
    service: str
    domain: str
    state: TargetState
    is_expired: bool
    slots: int
    active: float
    held: float
    owned_flows: int


class TargetsRead(msgspec.Struct, frozen=True, tag="targets-read"):
    """Answer to `ReadTargets`.

    Attributes:
        targets: The targets.
    """

    targets: tuple[TargetView, ...]


class FlowRole(enum.StrEnum):
    """What a host is to a flow."""

    OWNER = "owner"
    BACKUP = "backup"
    COPY = "copy"


class FlowView(msgspec.Struct, frozen=True):
    """What a host knows of a flow.

    Attributes:
        flow: The flow in text form.
        service: Service of the flow.
        work_class: Work class of the flow.
        target: IP address of its target.
        role: What the host is to the flow.
        is_established: Whether the host has seen the handshake complete.
        age_s: Seconds since the host has known the flow.
        idle_s: Seconds since the last packet through this host.
    """

    flow: str
    service: str
    work_class: str
    target: str
    role: FlowRole
    is_established: bool
    age_s: float
    idle_s: float


class FlowsRead(msgspec.Struct, frozen=True, tag="flows-read"):
    """Answer to `ReadFlows`.

    Attributes:
        flows: The flows.
        is_cut: Whether there are more than the limit.
    """

    flows: tuple[FlowView, ...]
    is_cut: bool


Response = (
    Announced
    | external_requests.Response
    | Refused
    | PatchVerdict
    | ConfigurationRead
    | LogRead
    | RolloutRead
    | MembersRead
    | MemberChangeStarted
    | StatusRead
    | TargetsRead
    | FlowsRead
)
