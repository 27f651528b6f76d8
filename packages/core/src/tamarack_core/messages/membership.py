"""Messages of the membership protocol of entry hosts."""

import enum

import msgspec

from tamarack_core import peers


class State(enum.IntEnum):
    """State of a member; of two states of one incarnation, the higher wins.

    Suspect and leaving members still forward packets. A leaving member no
    longer owns flows.
    """

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3
    LEFT = 4


class Update(msgspec.Struct, frozen=True, array_like=True):
    """State of a member of the failure domain in the view of the sender.

    Attributes:
        host: Name of the member.
        control: Endpoint of its control socket.
        data: Endpoint of its data socket.
        incarnation: Number that only the member itself raises, for example to
            refute a wrong state.
        state: State of the member.
    """

    host: str
    control: peers.Endpoint
    data: peers.Endpoint | None
    incarnation: int
    state: State


class Probe(msgspec.Struct, frozen=True, tag="probe"):
    """Probe of the receiver, which responds with an `Ack`.

    Attributes:
        sequence: Number that the `Ack` repeats.
        digest: Digest of the sender's view.
        updates: Recent changes.
    """

    sequence: int
    digest: int
    updates: tuple[Update, ...] = ()


class ProbeRequest(msgspec.Struct, frozen=True, tag="probe-request"):
    """Request to probe a third member on behalf of the sender.

    Attributes:
        sequence: Number that the relayed `Ack` repeats.
        subject: The member to probe.
    """

    sequence: int
    subject: Update


class Ack(msgspec.Struct, frozen=True, tag="probe-ack"):
    """Response to a `Probe`, possibly relayed: the member is alive.

    Attributes:
        sequence: Number of the probe or of the probe request.
        digest: Digest of the sender's view.
        updates: Recent changes.
    """

    sequence: int
    digest: int
    updates: tuple[Update, ...] = ()


class MembersFetch(msgspec.Struct, frozen=True, tag="members-fetch"):
    """Request for one page of the receiver's view.

    Attributes:
        after: Name of the last member that the sender has fetched; empty for
            the first page.
        subject: State of the sender itself, which joins by this message.
    """

    after: str
    subject: Update


class MembersPage(msgspec.Struct, frozen=True, tag="members-page"):
    """One page of the sender's view, ordered by name.

    Attributes:
        members: Members of the page.
        is_last: Whether no page follows.
    """

    members: tuple[Update, ...]
    is_last: bool


Message = Probe | ProbeRequest | Ack | MembersFetch | MembersPage
