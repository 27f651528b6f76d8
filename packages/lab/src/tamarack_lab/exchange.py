"""Requests of the caller stand-in and answers of the target stand-in.

Each message is one line of JSON. An answer repeats the id of its request and
names the target, so that a caller detects an answer to another request or from
a wrong service.
"""

from collections.abc import Iterator
from typing import Generic
from typing import TypeVar

import msgspec

T = TypeVar("T", "Request", "Answer")
_LINE_END = b"\n"


class Request(msgspec.Struct, frozen=True):
    """Request of a caller.

    Attributes:
        id: Unique identifier of the request.
        answer_bytes: Length of the filling in the answer.
    """

    id: str
    answer_bytes: int = 0


class Answer(msgspec.Struct, frozen=True):
    """Answer of a target.

    Attributes:
        id: Identifier of the request.
        service: Service of the target.
        work_class: Work class of the port that received the request.
        target: Address of the target.
        filling: Padding of the requested length.
    """

    id: str
    service: str
    work_class: str
    target: str
    filling: str = ""


def encode(message: Request | Answer) -> bytes:
    """Returns a message as a line of JSON."""
    return msgspec.json.encode(message) + _LINE_END


class LineReader(Generic[T]):
    """Splits a byte stream into messages.

    Attributes:
        message_type: Type of the messages.
        remainder: Bytes after the last complete line.
    """

    __slots__ = ("message_type", "remainder")

    def __init__(self, message_type: type[T]) -> None:
        """Initializes the reader of an empty stream.

        Args:
            message_type: Type of the messages.
        """
        self.message_type: type[T] = message_type
        self.remainder = bytearray()

    def feed(self, data: bytes) -> Iterator[T]:
        """Yields the messages that `data` completes.

        Raises:
            msgspec.DecodeError: A line is not a message of this type.
        """
        self.remainder += data
        if _LINE_END not in data:
            return
        *lines, remainder = bytes(self.remainder).split(_LINE_END)
        self.remainder = bytearray(remainder)
        for line in lines:
            yield msgspec.json.decode(line, type=self.message_type)
