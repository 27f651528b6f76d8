"""Requests of external systems and the responses to them.

Operators, targets and the fabric of a platform that numbers its configuration
itself send them to control and entry hosts. They concern numbered documents,
evacuations of failure domains, announced targets and readiness.
"""

import typing

import msgspec

from tamarack_core import documents
from tamarack_core import evacuations
from tamarack_core import peers
from tamarack_core import target_announcement

if typing.TYPE_CHECKING:
    from tamarack_core import flow_explanations


class PublishDocument(msgspec.Struct, frozen=True, tag="publish-document"):
    """An operator publishes a whole numbered document.

    Attributes:
        document: The document.
    """

    document: documents.Document


class OrderEvacuation(msgspec.Struct, frozen=True, tag="order-evacuation"):
    """An operator starts or ends the evacuation of a failure domain.

    Attributes:
        order: The order.
    """

    order: evacuations.Order


class ReadDocument(msgspec.Struct, frozen=True, tag="read-document"):
    """An operator reads the newest document."""


class AnnounceTarget(msgspec.Struct, frozen=True, tag="announce-target"):
    """A target announces itself to a control host.

    Attributes:
        target: The announcement.
    """

    target: target_announcement.Announcement


class WithdrawTarget(msgspec.Struct, frozen=True, tag="withdraw-target"):
    """A target withdraws its announcement because it stops.

    Attributes:
        name: Name of the target.
        born_ms: Its start time in milliseconds, or None if not given.
    """

    name: str
    born_ms: int | None = None


class ReadReadiness(msgspec.Struct, frozen=True, tag="read-readiness"):
    """The fabric queries whether this entry host accepts packets."""


class ExplainFlow(msgspec.Struct, frozen=True, tag="explain-flow"):
    """An operator asks where a new flow would go now, and why.

    Attributes:
        service: Service address (IPv4) and port.
        caller: Address (IPv4) and port of the caller.
        copy_number: Copies of the opening packet that were sent before.
    """

    service: peers.Endpoint
    caller: peers.Endpoint
    copy_number: int = 0


class DocumentPublished(msgspec.Struct, frozen=True, tag="document-published"):
    """The document, or one with a higher number, is accepted.

    Attributes:
        number: Number of the document in force.
    """

    number: int


class EvacuationOrdered(msgspec.Struct, frozen=True, tag="evacuation-ordered"):
    """The order is committed and applied.

    Attributes:
        revision: Revision of the evacuations in force.
    """

    revision: int


class NotFound(msgspec.Struct, frozen=True, tag="not-found"):
    """What the request names does not exist; nothing changed.

    Attributes:
        reason: Tag of the cause.
        detail: What to do instead.
    """

    reason: str
    detail: str


class DocumentRead(msgspec.Struct, frozen=True, tag="document-read"):
    """Response to `ReadDocument`.

    Attributes:
        document: The newest document.
    """

    document: documents.Document


class TargetAcknowledged(msgspec.Struct, frozen=True, tag="target-noted"):
    """The announcement or withdrawal is accepted.

    Attributes:
        renew_at: Address of the control host in the target's failure domain
            for later announcements; empty if there is none.
    """

    renew_at: str = ""


class Elsewhere(msgspec.Struct, frozen=True, tag="elsewhere"):
    """Another host handles the request; it had no effect at this host.

    Attributes:
        peer: The host to send the request to.
    """

    peer: peers.Peer


class Unavailable(msgspec.Struct, frozen=True, tag="unavailable"):
    """The request can't be handled now; it may be sent again.

    Attributes:
        reason: Tag of the cause.
        retry_after_s: Delay before a retry in seconds.
    """

    reason: str
    retry_after_s: float


class Readiness(msgspec.Struct, frozen=True, tag="readiness"):
    """Response to `ReadReadiness`.

    Attributes:
        is_ready: Whether the host accepts packets.
    """

    is_ready: bool


class FlowExplained(msgspec.Struct, frozen=True, tag="flow-explained"):
    """Response to `ExplainFlow`.

    Attributes:
        explanation: Where the flow would go, and why.
    """

    # Entry hosts load the type when they are first asked.
    explanation: "flow_explanations.FlowExplanation"


Request = (
    PublishDocument
    | OrderEvacuation
    | ReadDocument
    | AnnounceTarget
    | WithdrawTarget
    | ReadReadiness
    | ExplainFlow
)
Response = (
    DocumentPublished
    | EvacuationOrdered
    | NotFound
    | DocumentRead
    | TargetAcknowledged
    | Elsewhere
    | Unavailable
    | Readiness
    | FlowExplained
)
