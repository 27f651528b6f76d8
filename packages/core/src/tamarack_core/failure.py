"""Value that a function returns in place of a result."""

import msgspec


class Failure(msgspec.Struct, frozen=True):
    """States why a function has no result.

    Functions of the core return a failure rather than raise, so that a caller
    handles each reason by name. Test for it with `isinstance`.

    Attributes:
        reason: Short constant name, suitable as a metric label.
        detail: Message for an operator, with the wrong value and the fix.
        path: JSON pointer of the wrong value, if it is in a document.
    """

    reason: str
    detail: str = ""
    path: str = ""

    def __bool__(self) -> bool:
        """Returns False, so that `if not result` detects a failure."""
        return False
