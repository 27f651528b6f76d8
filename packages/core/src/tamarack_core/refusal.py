"""The answer that refuses a request, whatever it asked for."""

import msgspec


class Refused(msgspec.Struct, frozen=True, tag="refused"):
    """The request is refused and has had no effect.

    Attributes:
        reason: Constant name of the cause.
        detail: Sentence for an operator.
    """

    reason: str
    detail: str = ""
