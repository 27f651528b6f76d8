"""Messages by which the entry hosts of a failure domain know each other."""

import enum

import msgspec

from tamarack_core import peers


class State(enum.IntEnum):
    """State of a member; of two reports on one incarnation, the higher wins.

    A suspect member and one that is leaving still carry packets. A member
    that is leaving owns no flow any more.
    """

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3
    LEFT = 4


class Update(msgspec.Struct, frozen=True, array_like=True):
    """What the sender holds about a member of its failure domain.

    Attributes:
        host: Name of the member.
        control: Endpoint of its control socket.
        data: Endpoint of its data socket.
        incarnation: Number that only the member itself raises.
        state: State of the member.
    """

    host: str
    control: peers.Endpoint
    data: peers.Endpoint | None
    incarnation: int
    state: State


class Probe(msgspec.Struct, frozen=True, tag="probe"):
    """The sender asks for an `Ack`.

    Attributes:
        sequence: Number that the answer repeats.
        digest: Digest of the sender's view.
        updates: Recent changes.
    """

    sequence: int
    digest: int
    updates: tuple[Update, ...] = ()


class ProbeRequest(msgspec.Struct, frozen=True, tag="probe-request"):
    """The sender asks the receiver to probe a third member for it.

    Attributes:
        sequence: Number that the relayed `Ack` repeats.
        subject: The member to probe.
    """

    sequence: int
    subject: Update


class Ack(msgspec.Struct, frozen=True, tag="probe-ack"):
    """The probed member is alive.

    Attributes:
        sequence: Number of the probe or of the probe request.
        digest: Digest of the sender's view.
        updates: Recent changes.
    """

    sequence: int
    digest: int
    updates: tuple[Update, ...] = ()


class MembersFetch(msgspec.Struct, frozen=True, tag="members-fetch"):
    """The sender asks for one page of the receiver's view.

    Attributes:
        after: Name of the last member that the sender has read.
        subject: The sender itself, which thereby joins.
    """

    after: str
    subject: Update


class MembersPage(msgspec.Struct, frozen=True, tag="members-page"):
    """One page of the sender's view, in order of names.

    Attributes:
        members: Members of the page.
        is_last: Whether no page follows.
    """

    members: tuple[Update, ...]
    is_last: bool


Message = Probe | ProbeRequest | Ack | MembersFetch | MembersPage
