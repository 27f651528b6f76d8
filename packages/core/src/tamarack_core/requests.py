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
        slots: Work units that the target processes concurrently.
        connections: Connections that the target can hold open.
        incarnation: Number that increases when the target restarts.
        lease_s: Seconds until the announcement expires unless renewed.
        load: Work units in use as the target reports it; advisory.
        healthy: Health as the target reports it; advisory.
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
        author: Author of the patch.
        note: Reason for the patch, in a sentence.
        is_resend: Whether the patch was sent before and may have got no
            verdict. A host can then not be certain that the patch was not
            accepted, and responds with unknown instead of no-quorum.
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
        after: Return only patches after this version.
    """

    after: int = 0


class ReadRollout(msgspec.Struct, frozen=True, tag="read-rollout"):
    """An operator reads the versions in force at downstream hosts."""


class MemberAction(enum.StrEnum):
    """Membership change that an operator requests for a control host."""

    ADD = "add"
    PROMOTE = "promote"
    REMOVE = "remove"


class ReadMembers(msgspec.Struct, frozen=True, tag="read-members"):
    """An operator reads the members of the replicated log."""


class ChangeMember(msgspec.Struct, frozen=True, tag="change-member"):
    """An operator changes one member; only the leader accepts it.

    Attributes:
        action: Kind of the change.
        host: Name of the control host.
        incarnation: Identifier of its data folder; needed only if the host is
            known with more than one.
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
        limit: Maximum number of flows in the response.
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
    """Response to a patch.

    Attributes:
        state: The verdict.
        version: Version that the patch created or conflicts with; 0 if neither.
        path: JSON pointer of the invalid value, if any.
        reason: Explanation for the operator.
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
    """Response to `ReadConfiguration`.

    Attributes:
        numbered: The newest accepted configuration.
    """

    numbered: configuration.VersionedConfiguration


class LogEntry(msgspec.Struct, frozen=True):
    """One accepted patch; its base is the previous version.

    Attributes:
        version: Version that the patch created.
        patch_id: Identifier of the patch.
        author: Author of the patch.
        note: Reason that the author gave.
        time_ms: Wall-clock time at which it was accepted, in milliseconds.
        changed: JSON pointers that it changed; a long list is cut.
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
    """Response to `ReadLog`.

    Attributes:
        version: The newest version.
        entries: The patches in order; the oldest may have been evicted.
    """

    version: int
    entries: tuple[LogEntry, ...]


class HostVersion(msgspec.Struct, frozen=True):
    """Version in force at a host, as it last reported.

    Attributes:
        host: Name of the host.
        domain: Failure domain of the host.
        version: Version in force at the host.
        since_ms: Wall-clock time at which it came into force, in
            milliseconds.
        age_ms: Milliseconds since the report of the host.
    """

    host: str
    domain: str
    version: int
    since_ms: int
    age_ms: int


class RolloutRead(msgspec.Struct, frozen=True, tag="rollout-read"):
    """Response to `ReadRollout`.

    Attributes:
        version: Version in force at the responding host.
        hosts: Hosts that requested versions from the responding host.
    """

    version: int
    hosts: tuple[HostVersion, ...]


class MemberState(enum.StrEnum):
    """Role of a control host in the replicated log."""

    VOTER = "voter"
    LEARNER = "learner"
    WAITING = "waiting"


class Member(msgspec.Struct, frozen=True):
    """A control host with one of its data folders.

    Attributes:
        host: Name of the host.
        domain: Failure domain of the host.
        endpoint: Address and port of the host.
        incarnation: Identifier of its data folder.
        state: Its role in the log; waiting if it is not a member.
    """

    host: str
    domain: str
    endpoint: str
    incarnation: str
    state: MemberState


class MembersRead(msgspec.Struct, frozen=True, tag="members-read"):
    """Response to `ReadMembers`, as the responding host knows the members.

    Attributes:
        leader: Name of the leader; empty if none is known.
        members: The members and the introduced hosts that are not members.
    """

    leader: str
    members: tuple[Member, ...]


class MemberChangeStarted(
    msgspec.Struct, frozen=True, tag="member-change-started"
):
    """The change was appended to the log.

    Read the members to see it take effect.
    """


class StatusRead(msgspec.Struct, frozen=True, tag="status-read"):
    """Response to `ReadStatus`.

    Attributes:
        host: Name of the host.
        domain: Failure domain of the host.
        roles: Roles of the host.
        version: Configuration version in force.
        since_ms: Wall-clock time at which it came into force, in
            milliseconds.
        members: Hosts that this host considers alive.
        targets: Targets with a valid lease.
        flows: Open flows that this host knows.
        counters: Counters by name.
        evacuated_domains: Failure domains that are evacuated by the version
            in force.
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
    evacuated_domains: tuple[str, ...] = ()


class TargetView(msgspec.Struct, frozen=True):
    """State of a target as a host knows it.

    Attributes:
        address: IP address of the target.
        service: Service that it belongs to.
        domain: Failure domain of the target.
        state: State that it announced.
        is_expired: Whether its lease has expired.
        slots: Work units that it processes concurrently.
        active: Work units that occupy slots, summed over all reporting hosts.
        held: Work units of open long-lived connections, summed over all
            reporting hosts.
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
    """Response to `ReadTargets`.

    Attributes:
        targets: The targets.
    """

    targets: tuple[TargetView, ...]


class FlowRole(enum.StrEnum):
    """Role of a host for a flow."""

    OWNER = "owner"
    BACKUP = "backup"
    COPY = "copy"


class FlowView(msgspec.Struct, frozen=True):
    """State of a flow as a host knows it.

    Attributes:
        flow: The flow in text form.
        service: Service of the flow.
        work_class: Work class of the flow.
        target: IP address of its target.
        role: Role of the host for the flow.
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
    """Response to `ReadFlows`.

    Attributes:
        flows: The flows.
        is_cut: Whether there are more flows than the limit.
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
