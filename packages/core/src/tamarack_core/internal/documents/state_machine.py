"""The replicated state: the document with the highest number."""

from typing import Protocol

import msgspec

from tamarack_core import documents

_encoder = msgspec.msgpack.Encoder()
_change_decoder = msgspec.msgpack.Decoder(documents.Change)
_document_decoder = msgspec.msgpack.Decoder(documents.Document)


class History(Protocol):
    """Follows the documents in force."""

    def put(self, document: documents.Document) -> None:
        """Takes the document that follows on the last one."""

    def reset_to(self, document: documents.Document) -> None:
        """Takes a document after others that nobody here has seen."""


class DocumentStateMachine:
    """State machine of the replicated log.

    Attributes:
        document: The document in force.
        passed: Documents that came into force since the last `flush_to`.
        has_jumped: Whether documents before these were not seen.
    """

    __slots__ = ("document", "has_jumped", "passed")

    def __init__(self) -> None:
        """Holds no document."""
        self.document = documents.Document(0)
        self.passed: list[documents.Document] = []
        self.has_jumped = False

    def apply(self, index: int, command: bytes) -> None:
        """Applies a committed change unless its base is not in force.

        A change whose base differs was proposed by a leader that did not yet
        know what another one had committed; whoever published it hears
        nothing and sends it again.

        Args:
            index: Place in the log.
            command: The encoded change.
        """
        change = _change_decoder.decode(command)
        if change.base != self.document.number:
            return
        if change.number > self.document.number:
            self.document = documents.apply(self.document, change)
            self.passed.append(self.document)

    def snapshot(self) -> bytes:
        """Returns the state after the last applied command."""
        return _encoder.encode(self.document)

    def restore(self, data: bytes) -> None:
        """Replaces the state by one that `snapshot` returned."""
        self.document = _document_decoder.decode(data)
        self.passed = [self.document]
        self.has_jumped = True

    def flush_to(self, history: History) -> None:
        """Hands over the documents that came into force.

        Args:
            history: What follows the documents one by one.
        """
        for document in self.passed:
            if self.has_jumped:
                history.reset_to(document)
            else:
                history.put(document)
            self.has_jumped = False
        self.passed.clear()


def encode(change: documents.Change) -> bytes:
    """Returns the command for the log that makes a change."""
    return _encoder.encode(change)
