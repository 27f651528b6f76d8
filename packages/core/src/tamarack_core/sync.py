"""Messages that carry targets and documents to other hosts as changes."""

import msgspec

from tamarack_core import documents
from tamarack_core import peers
from tamarack_core import target_announcement


class SyncRequest(msgspec.Struct, frozen=True, tag="sync-request"):
    """A host asks for what it lacks, and for changes to come.

    Attributes:
        run: Run of the receiver that the sender followed; empty for none.
        position: Last change of that run that the sender holds.
        number: Number of the document that the sender holds.
        is_control: Whether the sender is a control host.
        is_first: Whether the sender has just started and holds nothing.
    """

    run: str
    position: int
    number: int
    is_control: bool = False
    is_first: bool = False


class RouteChange(msgspec.Struct, frozen=True, array_like=True):
    """A route as entry hosts need it.

    Attributes:
        address: Service address.
        port: Service port.
        shares: Services with weights; empty for a removed route.
        kind: Whether its requests may be repeated.
        timeout_ms: Time that its requests have, in milliseconds.
    """

    address: str
    port: int
    shares: tuple[documents.WeightedService, ...]
    kind: documents.WorkKind
    timeout_ms: float


class DocumentUpdate(msgspec.Struct, frozen=True, omit_defaults=True):
    """Routes that changed after a number.

    Attributes:
        base: Fits on documents with this number and later ones; 0 stands for
            a whole document.
        number: Number that it leads to.
        routes: The routes that changed.
        idle_timeout_ms: Time after which an idle flow may be forgotten.
    """

    base: int
    number: int
    routes: tuple[RouteChange, ...]
    idle_timeout_ms: float


class SyncUpdate(msgspec.Struct, frozen=True, tag="sync-update"):
    """What changed at a control host.

    Attributes:
        run: Run of the sender; a restart begins another.
        base: Last change that the receiver must hold; 0 for all.
        position: Last change that the update holds.
        is_settled: Whether the sender has run for long enough to know all
            targets that announce themselves.
        targets: Targets that changed.
        controls: Control hosts that the sender knows; empty if unchanged.
        document: What changed in the document, if anything.
    """

    run: str
    base: int
    position: int
    is_settled: bool
    targets: tuple[target_announcement.KnownTarget, ...] = ()
    controls: tuple[peers.Peer, ...] = ()
    document: DocumentUpdate | None = None


class AnnouncementAges(msgspec.Struct, frozen=True, tag="heard"):
    """A control host tells the others whose announcements reached it.

    Attributes:
        ages_ms: Milliseconds since the last announcement, by target name.
    """

    ages_ms: dict[str, int]


class SuspectTargets(msgspec.Struct, frozen=True, tag="doubt"):
    """Targets that a host found dead, for others to ask themselves.

    Attributes:
        targets: Names of the targets.
    """

    targets: tuple[str, ...]


class ControlHello(msgspec.Struct, frozen=True, tag="control-hello"):
    """A control host names itself to the others.

    Attributes:
        incarnation: Identifier of its data folder.
        known: Control hosts that the sender heard lately.
    """

    incarnation: str
    known: tuple[peers.Peer, ...] = ()


Message = (
    SyncRequest | SyncUpdate | AnnouncementAges | SuspectTargets | ControlHello
)
