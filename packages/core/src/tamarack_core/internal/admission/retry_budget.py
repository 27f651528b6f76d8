"""Retry budget: tries on a second target, as a fraction of the openings."""

RETRY_SHARE = 0.1
MAX_RETRIES = 10.0


class RetryBudget:
    """Budget of one service.

    Attributes:
        retries: Tries that are left.
    """

    __slots__ = ("retries",)

    def __init__(self) -> None:
        """Creates a budget of one try."""
        self.retries = 1.0

    def add_opening(self) -> None:
        """Counts an opening, which adds a fraction of a try."""
        self.retries = min(MAX_RETRIES, self.retries + RETRY_SHARE)

    def try_consume(self) -> bool:
        """Takes a try; returns False if none is left."""
        if self.retries < 1.0:
            return False
        self.retries -= 1.0
        return True
