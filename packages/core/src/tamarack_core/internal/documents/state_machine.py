"""Replicated state machine that holds the document with the highest number."""

from typing import Protocol

import msgspec

from tamarack_core import documents

_encoder = msgspec.msgpack.Encoder()
_change_decoder = msgspec.msgpack.Decoder(documents.Change)
_document_decoder = msgspec.msgpack.Decoder(documents.Document)


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
        document: The document in force.
        new_documents: Documents that came into force since the last
            `flush_to`.
        has_gap: Whether the documents before `new_documents` are unknown, as
            they are after a snapshot was restored.
    """

    __slots__ = ("document", "has_gap", "new_documents")

    def __init__(self) -> None:
        """Initializes the state with the empty document 0."""
        self.document = documents.Document(0)
        self.new_documents: list[documents.Document] = []
        self.has_gap = False

    def apply(self, index: int, command: bytes) -> None:
        """Applies a committed change if its base is in force.

        A change with another base was proposed by a leader that had not yet
        applied an entry committed by an earlier leader. It is skipped, so that
        its publisher gets no acknowledgment and sends the document again.

        Args:
            index: Index in the log.
            command: The encoded change.
        """
        change = _change_decoder.decode(command)
        if change.base != self.document.number:
            return
        if change.number > self.document.number:
            self.document = documents.apply(self.document, change)
            self.new_documents.append(self.document)

    def snapshot(self) -> bytes:
        """Returns the encoded state after the last applied command."""
        return _encoder.encode(self.document)

    def restore(self, data: bytes) -> None:
        """Replaces the state by one that `snapshot` returned."""
        self.document = _document_decoder.decode(data)
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
