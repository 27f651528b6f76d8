"""The replicated state: the document with the highest number."""

import msgspec

from tamarack_core import documents

_encoder = msgspec.msgpack.Encoder()
_change_decoder = msgspec.msgpack.Decoder(documents.Change)
_document_decoder = msgspec.msgpack.Decoder(documents.Document)


class DocumentMachine:
    """State machine of the replicated log.

    Attributes:
        document: The document in force.
    """

    __slots__ = ("document",)

    def __init__(self) -> None:
        """Holds no document."""
        self.document = documents.Document(0)

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

    def snapshot(self) -> bytes:
        """Returns the state after the last applied command."""
        return _encoder.encode(self.document)

    def restore(self, data: bytes) -> None:
        """Replaces the state by one that `snapshot` returned."""
        self.document = _document_decoder.decode(data)


def encode(change: documents.Change) -> bytes:
    """Returns the command for the log that makes a change."""
    return _encoder.encode(change)
