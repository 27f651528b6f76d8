"""Requests about numbered documents, announced targets and readiness.

They reach control and entry hosts from operators, targets and the fabric of a
platform that numbers its configuration itself.
"""

import msgspec

from tamarack_core import documents
from tamarack_core import peers
from tamarack_core import target_announcement


class PublishDocument(msgspec.Struct, frozen=True, tag="publish-document"):
    """An operator publishes a whole document under its number.

    Attributes:
        document: The document.
    """

    document: documents.Document


class ReadDocument(msgspec.Struct, frozen=True, tag="read-document"):
    """An operator reads the newest document."""


class AnnounceTarget(msgspec.Struct, frozen=True, tag="announce-target"):
    """A target announces itself to a control host.

    Attributes:
        target: What it says of itself.
    """

    target: target_announcement.Announcement


class WithdrawTarget(msgspec.Struct, frozen=True, tag="withdraw-target"):
    """A target says that it ends.

    Attributes:
        name: Name of the target.
        born_ms: Its birth, or None if it did not say.
    """

    name: str
    born_ms: int | None = None


class ReadReadiness(msgspec.Struct, frozen=True, tag="read-readiness"):
    """The fabric asks whether this entry host takes packets."""


class DocumentPublished(msgspec.Struct, frozen=True, tag="document-published"):
    """The document, or one with a higher number, is accepted.

    Attributes:
        number: Number that is in force.
    """

    number: int


class DocumentRead(msgspec.Struct, frozen=True, tag="document-read"):
    """Answer to `ReadDocument`.

    Attributes:
        document: The newest document.
    """

    document: documents.Document


class TargetAcknowledged(msgspec.Struct, frozen=True, tag="target-noted"):
    """The announcement or withdrawal is taken.

    Attributes:
        renew_at: Address of the control host in the target's failure domain
            for later announcements; empty if there is none.
    """

    renew_at: str = ""


class Elsewhere(msgspec.Struct, frozen=True, tag="elsewhere"):
    """Another host answers the request; it has had no effect here.

    Attributes:
        peer: The host to ask.
    """

    peer: peers.Peer


class Unavailable(msgspec.Struct, frozen=True, tag="unavailable"):
    """The request can't be answered now; it may be sent again.

    Attributes:
        reason: Constant name of the cause.
        retry_after_s: When to come back, in seconds.
    """

    reason: str
    retry_after_s: float


class Readiness(msgspec.Struct, frozen=True, tag="readiness"):
    """Answer to `ReadReadiness`.

    Attributes:
        is_ready: Whether the host takes packets.
    """

    is_ready: bool


Request = (
    PublishDocument
    | ReadDocument
    | AnnounceTarget
    | WithdrawTarget
    | ReadReadiness
)
Response = (
    DocumentPublished
    | DocumentRead
    | TargetAcknowledged
    | Elsewhere
    | Unavailable
    | Readiness
)
