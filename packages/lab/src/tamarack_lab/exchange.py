"""Requests of the caller stand-in and answers of the target stand-in.

Each is one line of JSON. An answer repeats what it answers and names who
answers, so that a caller sees an answer that isn't its own.
"""

from collections.abc import Iterator
from typing import Generic
from typing import TypeVar

import msgspec

T = TypeVar("T", "Request", "Answer")
_LINE_END = b"\n"


class Request(msgspec.Struct, frozen=True):
    """A request.

    Attributes:
        id: Identifier that no other request has.
        answer_bytes: Length of the filling that the answer must have.
    """

    id: str
    answer_bytes: int = 0


class Answer(msgspec.Struct, frozen=True):
    """An answer.

    Attributes:
        id: Identifier of the request.
        service: Service of the target.
        work_class: Work class of the port that took the request.
        target: Address of the target.
        filling: Text that makes the answer as long as requested.
    """

    id: str
    service: str
    work_class: str
    target: str
    filling: str = ""


def encode(message: Request | Answer) -> bytes:
    """Returns the line of a message."""
    return msgspec.json.encode(message) + _LINE_END


class LineReader(Generic[T]):
    """Cuts a byte stream into messages.

    Attributes:
        form: Type of the messages.
        rest: Bytes after the last whole line.
    """

    __slots__ = ("form", "rest")

    def __init__(self, form: type[T]) -> None:
        """Starts with an empty stream.

        Args:
            form: Type of the messages.
        """
        self.form: type[T] = form
        self.rest = bytearray()

    def feed(self, data: bytes) -> Iterator[T]:
        """Yields the messages that `data` completes.

        Raises:
            msgspec.DecodeError: A line is not such a message.
        """
        self.rest += data
        if _LINE_END not in data:
            return
        *lines, rest = bytes(self.rest).split(_LINE_END)
        self.rest = bytearray(rest)
        for line in lines:
            yield msgspec.json.decode(line, type=self.form)
