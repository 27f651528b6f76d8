"""Requests of targets and operators, and the responses to them."""

import enum

import msgspec

from tamarack_core import configuration


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
    """

    patch_id: str
    base_version: int
    operations: msgspec.Raw
    author: str
    note: str = ""


class ReadConfiguration(msgspec.Struct, frozen=True, tag="read-configuration"):
    """An operator reads the newest accepted configuration."""


class ReadStatus(msgspec.Struct, frozen=True, tag="read-status"):
    """An operator reads the state of this host."""


Request = Announce | SubmitPatch | ReadConfiguration | ReadStatus


class Announced(msgspec.Struct, frozen=True, tag="announced"):
    """The announcement is accepted.

    Attributes:
        lease_s: Seconds until the lease expires.
    """

    lease_s: float


class Refused(msgspec.Struct, frozen=True, tag="refused"):
    """The request is refused and has had no effect.

    Attributes:
        reason: Constant name of the cause.
        detail: Sentence for an operator.
    """

    reason: str
    detail: str = ""


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


Response = Announced | Refused | PatchVerdict | ConfigurationRead | StatusRead
