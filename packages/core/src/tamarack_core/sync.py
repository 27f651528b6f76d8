"""Messages that carry changes of targets and documents to other hosts."""

import msgspec

from tamarack_core import documents
from tamarack_core import evacuations as evacuations_lib
from tamarack_core import peers
from tamarack_core import target_announcement


class SyncRequest(msgspec.Struct, frozen=True, tag="sync-request"):
    """Request for the changes that the sender lacks and for those to come.

    Attributes:
        run: Run of the receiver that the sender holds changes of; empty for
            none.
        position: Last change of that run that the sender holds.
        number: Number of the document that the sender holds.
        is_control: Whether the sender is a control host.
        is_first: Whether the sender has just started and holds no document.
        revision: Revision of the evacuations that the sender holds.
        allotment: Number of the last allotment that the sender holds.
        round: Round of requests of a control host; 0 from an entry host.
    """

    run: str
    position: int
    number: int
    is_control: bool = False
    is_first: bool = False
    revision: int = 0
    allotment: int = 0
    round: int = 0


class RouteChange(msgspec.Struct, frozen=True, array_like=True):
    """A route in the form that entry hosts use.

    Attributes:
        address: Service address.
        port: Service port.
        shares: Services with weights; empty for a removed route.
        kind: Whether its requests may be repeated.
        timeout_ms: Timeout of its requests, in milliseconds.
    """

    address: str
    port: int
    shares: tuple[documents.WeightedService, ...]
    kind: documents.WorkKind
    timeout_ms: float


class WarmUp(msgspec.Struct, frozen=True, array_like=True):
    """Warm-up of the targets of a service.

    Attributes:
        service: Name of the service.
        warm_up_s: Time for which a target is cold, in seconds; 0 if not
            stated.
        cold_requests_per_s: Requests a second that a cold target can serve; 0
            if not stated.
    """

    service: str
    warm_up_s: float
    cold_requests_per_s: float


class DocumentUpdate(msgspec.Struct, frozen=True, omit_defaults=True):
    """Routes that changed after a document.

    Attributes:
        base: Number of the oldest document that the update applies to; 0 for
            a whole document.
        number: Number of the document after the update.
        routes: The routes that changed.
        idle_timeout_ms: Time after which an idle flow may expire, in
            milliseconds.
        warm_ups: All services of the document that state a warm-up.
    """

    base: int
    number: int
    routes: tuple[RouteChange, ...]
    idle_timeout_ms: float
    warm_ups: tuple[WarmUp, ...] = ()


class AllottedTarget(msgspec.Struct, frozen=True, array_like=True):
    """A cold target that the receiver may open flows to.

    Attributes:
        target: Name of the target.
        place_ms: Place of its start, in milliseconds.
        revision: Revision of the end of an evacuation since which it is cold;
            0 for a start.
        position: Position of the receiver among the named hosts, from 0.
        hosts: Number of the named hosts.
    """

    target: str
    place_ms: int
    revision: int
    position: int
    hosts: int


class AllotmentUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Allotments that name the receiver.

    Attributes:
        base: Number of the last allotment that the receiver must have been
            told of.
        number: Number of the last allotment that the update covers.
        targets: Those of the allotments between them that name the receiver.
    """

    base: int
    number: int
    targets: tuple[AllottedTarget, ...] = ()


class SyncUpdate(
    msgspec.Struct, frozen=True, tag="sync-update", omit_defaults=True
):
    """Changes at a control host.

    Attributes:
        run: Run of the sender; each start begins a new one.
        base: Last change that the receiver must hold; 0 for all changes.
        position: Last change in the update.
        is_settled: Whether the sender has run for long enough to know all
            targets that announce themselves.
        targets: Targets that changed.
        controls: Control hosts that the sender knows; empty if unchanged.
        document: Changes of the document, if any.
        is_confirmed: Whether the sender is in contact with a quorum of the
            control hosts, so that it learns of each new document.
        entry_hosts: Number of entry hosts, as far as the sender knows; 0 if it
            doesn't.
        evacuations: Evacuated failure domains, if the receiver holds an
            earlier revision.
        allotments: Allotments of cold targets, if there are any that the
            receiver has not been told of.
        round: Round of the last request that arrived from the receiver.
        tag_uses: How targets use their plain tags, by name; only those of which
            it isn't `PLAIN`.
    """

    run: str
    base: int
    position: int
    is_settled: bool
    targets: tuple[target_announcement.KnownTarget, ...] = ()
    controls: tuple[peers.Peer, ...] = ()
    document: DocumentUpdate | None = None
    is_confirmed: bool = True
    entry_hosts: int = 0
    evacuations: evacuations_lib.Evacuations | None = None
    allotments: AllotmentUpdate | None = None
    round: int = 0
    tag_uses: dict[str, target_announcement.TagUse] = {}


class DocumentQuery(msgspec.Struct, frozen=True, tag="document-query"):
    """Query of an entry host that follows another control host.

    Attributes:
        number: Number of the document that the sender holds.
        revision: Revision of the evacuations that the sender holds.
    """

    number: int
    revision: int = 0


class DocumentAnswer(msgspec.Struct, frozen=True, tag="document-answer"):
    """Answer to a `DocumentQuery`.

    Attributes:
        is_confirmed: Whether the sender is in contact with a quorum of the
            control hosts.
        document: Changes that the receiver lacks, if any.
        evacuations: Evacuated failure domains, if the receiver holds an
            earlier revision.
    """

    is_confirmed: bool
    document: DocumentUpdate | None = None
    evacuations: evacuations_lib.Evacuations | None = None


class AnnouncementAges(msgspec.Struct, frozen=True, tag="heard"):
    """Ages of the announcements that a control host received directly.

    Attributes:
        ages_ms: Milliseconds since the last announcement, by target name.
        is_relayed: Whether the sender passes on what another host received.
    """

    ages_ms: dict[str, int]
    is_relayed: bool = False


class SuspectTargets(msgspec.Struct, frozen=True, tag="doubt"):
    """Targets that a host found dead, for other hosts to probe.

    Attributes:
        targets: Names of the targets.
    """

    targets: tuple[str, ...]


class TargetReplies(msgspec.Struct, frozen=True, array_like=True):
    """Reply times of one target since the last report.

    Attributes:
        start_tag: Tag of the start of the target.
        count: Number of replies.
        log_milli: Sum of the logarithms of reply time over usual reply time,
            in thousandths.
    """

    start_tag: int
    count: int
    log_milli: int


class LoadReport(msgspec.Struct, frozen=True, tag="load-report"):
    """What an entry host observed since its last report.

    It goes to the control host that the entry host follows.

    Attributes:
        replies: Reply times of the targets that replied.
        openings: Openings of callers by service, repeated ones not counted.
    """

    replies: tuple[TargetReplies, ...] = ()
    openings: dict[str, int] = {}


class LoadTotals(msgspec.Struct, frozen=True, tag="load-totals"):
    """Sum of the reports that a control host received since its last totals.

    It goes to the other control hosts.

    Attributes:
        replies: Reply times of the targets that replied.
        openings: Openings of callers by service, repeated ones not counted.
    """

    replies: tuple[TargetReplies, ...] = ()
    openings: dict[str, int] = {}


class LoadSummary(msgspec.Struct, frozen=True, tag="load-summary"):
    """Weights of targets and load of services over all entry hosts.

    It goes from a control host to the entry hosts that follow it.

    Attributes:
        weights: Weights in percent by tag of the start of a target; those of
            100 are left out.
        openings_per_s: Openings a second by service.
        ramped_up: Services whose new targets are ramped up.
    """

    weights: dict[int, int] = {}
    openings_per_s: dict[str, float] = {}
    ramped_up: tuple[str, ...] = ()


class ControlHello(msgspec.Struct, frozen=True, tag="control-hello"):
    """Introduces a control host to the others.

    Attributes:
        incarnation: Identifier of its data folder.
        known: Control hosts known to the sender to be alive.
        entry_hosts: Number of entry hosts that are subscribed to the sender.
        is_stopping: Whether a stop of the sender was requested.
        accepts_orders: Whether the sender can apply evacuation orders; earlier
            versions can't.
        entry_names: Names of some of these entry hosts. Successive messages
            name all of them in turn, so that the size is bounded.
        accepts_standbys: Whether the sender knows standbys and the replacement
            of a voter; earlier versions don't.
    """

    incarnation: str
    known: tuple[peers.Peer, ...] = ()
    entry_hosts: int = 0
    is_stopping: bool = False
    accepts_orders: bool = False
    entry_names: tuple[str, ...] = ()
    accepts_standbys: bool = False


class VoterReleased(msgspec.Struct, frozen=True, tag="voter-released"):
    """Tells a stopping control host that it is no longer a voter.

    The leader sends it once the change of the membership is committed.

    Attributes:
        incarnation: Identifier of the data folder of the receiver.
    """

    incarnation: str


Message = (
    SyncRequest
    | SyncUpdate
    | DocumentQuery
    | DocumentAnswer
    | AnnouncementAges
    | SuspectTargets
    | LoadReport
    | LoadTotals
    | LoadSummary
    | ControlHello
    | VoterReleased
)
