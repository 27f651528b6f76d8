"""The answer that refuses a request, whatever it asked for."""

import msgspec


class Refused(msgspec.Struct, frozen=True, tag="refused"):
    """The request is refused and has had no effect.

    Attributes:
        reason: Constant name of the cause.
        detail: Sentence for an operator.
        retry_after_s: Seconds after which the same request may be taken; 0
            where it must be changed first.
    """

    reason: str
    detail: str = ""
    retry_after_s: float = 0.0
