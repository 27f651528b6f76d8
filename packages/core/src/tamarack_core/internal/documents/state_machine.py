"""Replicated state machine of documents, evacuations and allotments."""

from typing import Protocol

import msgspec

from tamarack_core import documents
from tamarack_core.internal.documents import allotment_log
from tamarack_core.internal.documents import evacuation_log


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """State of the machine in a snapshot.

    Attributes:
        document: The document in force.
        evacuations: State of the evacuations.
        allotments: Allotments of cold targets.
    """

    document: documents.Document
    evacuations: evacuation_log.Snapshot = evacuation_log.Snapshot()
    allotments: allotment_log.Snapshot = allotment_log.Snapshot()


_encoder = msgspec.msgpack.Encoder()
# Earlier versions wrote a change or a document alone, which is a map; commands
# of other kinds and snapshots are arrays.
_command_decoder = msgspec.msgpack.Decoder(
    documents.Change | tuple[str, msgspec.Raw]
)
_snapshot_decoder = msgspec.msgpack.Decoder(
    documents.Document | list[msgspec.Raw]
)
_parts_decoder = msgspec.msgpack.Decoder(Snapshot)


class DocumentHistory(Protocol):
    """Receiver of the documents that come into force."""

    def put(self, document: documents.Document) -> None:
        """Appends the document that directly follows the last one."""

    def reset_to(self, document: documents.Document) -> None:
        """Replaces the history by a document after a gap.

        The documents between the last one and this one are unknown.
        """


class DocumentStateMachine:
    """State machine of the replicated log.

    Attributes:
        allotments: Allotments of cold targets.
        document: The document in force.
        evacuations: The evacuated failure domains.
        new_documents: Documents that came into force since the last
            `flush_to`.
        has_gap: Whether the documents before `new_documents` are unknown, as
            they are at the start and after a snapshot was restored. Only the
            newest document is kept then.
    """

    __slots__ = (
        "allotments",
        "document",
        "evacuations",
        "has_gap",
        "new_documents",
    )

    def __init__(self) -> None:
        """Initializes the state with the empty document 0."""
        self.document = documents.Document(0)
        self.allotments = allotment_log.AllotmentLog()
        self.evacuations = evacuation_log.EvacuationLog()
        self.new_documents: list[documents.Document] = []
        self.has_gap = True

    def apply(self, index: int, command: bytes) -> None:
        """Applies a committed command.

        A command of a kind that this version does not know is skipped.

        Args:
            index: Index in the log.
            command: The encoded command.
        """
        decoded = _command_decoder.decode(command)
        if isinstance(decoded, documents.Change):
            self._apply_change(decoded)
            return
        kind, payload = decoded
        if kind == evacuation_log.KIND:
            self.evacuations.apply(bytes(payload))
        elif kind == allotment_log.KIND:
            warmed = self.allotments.apply(bytes(payload))
            self.evacuations.forget_ended(warmed)

    def _apply_change(self, change: documents.Change) -> None:
        """Applies a change of the document if its base is in force.

        A change with another base was proposed by a leader that had not yet
        applied an entry committed by an earlier leader. It is skipped, so that
        its publisher gets no acknowledgment and sends the document again.
        """
        if change.base != self.document.number:
            return
        if change.number > self.document.number:
            self.document = documents.apply(self.document, change)
            if self.has_gap:
                self.new_documents.clear()
            self.new_documents.append(self.document)

    def snapshot(self) -> bytes:
        """Returns the encoded state after the last applied command.

        Before the first order and allotment it is the document alone, which
        hosts of earlier versions can read during an upgrade.
        """
        is_document = (
            self.evacuations.state.revision == 0 and self.allotments.number == 0
        )
        if is_document:
            return _encoder.encode(self.document)
        return _encoder.encode(
            Snapshot(
                self.document,
                self.evacuations.snapshot(),
                self.allotments.snapshot(),
            )
        )

    def restore(self, data: bytes) -> None:
        """Replaces the state by one that `snapshot` returned."""
        decoded = _snapshot_decoder.decode(data)
        if isinstance(decoded, documents.Document):
            snapshot = Snapshot(decoded)
        else:
            snapshot = _parts_decoder.decode(data)
        self.document = snapshot.document
        self.evacuations.restore(snapshot.evacuations)
        self.allotments.restore(snapshot.allotments)
        self.new_documents = [self.document]
        self.has_gap = True

    def flush_to(self, history: DocumentHistory) -> None:
        """Moves the documents that came into force to a history.

        Args:
            history: Receives the documents one by one.
        """
        for document in self.new_documents:
            if self.has_gap:
                history.reset_to(document)
            else:
                history.put(document)
            self.has_gap = False
        self.new_documents.clear()


def encode(change: documents.Change) -> bytes:
    """Returns the command for the log that applies a change."""
    return _encoder.encode(change)


def encode_order(command: evacuation_log.Command) -> bytes:
    """Returns the command for the log that applies an order."""
    payload = msgspec.Raw(evacuation_log.encode(command))
    return _encoder.encode((evacuation_log.KIND, payload))


def encode_allotments(command: allotment_log.Command) -> bytes:
    """Returns the command for the log that adds allotments."""
    payload = msgspec.Raw(allotment_log.encode(command))
    return _encoder.encode((allotment_log.KIND, payload))
