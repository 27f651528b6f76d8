"""The response that refuses a request of any kind."""

import msgspec


class Refused(msgspec.Struct, frozen=True, tag="refused"):
    """The request is refused and has had no effect.

    Attributes:
        reason: Constant name of the cause.
        detail: Message for an operator.
        retry_after_s: Seconds after which the same request may be repeated; 0
            if it must be changed first.
    """

    reason: str
    detail: str = ""
    retry_after_s: float = 0.0
