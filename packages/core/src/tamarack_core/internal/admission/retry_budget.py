"""Retry budget: retries on another target, as a fraction of the openings."""

RETRY_FRACTION = 0.1
MAX_RETRIES = 10.0


class RetryBudget:
    """Retry budget of one service.

    Attributes:
        retries: Remaining retries; fractions add up.
    """

    __slots__ = ("retries",)

    def __init__(self) -> None:
        """Initializes the budget with one retry."""
        self.retries = 1.0

    def add_opening(self) -> None:
        """Adds the fraction of a retry that one opening allows."""
        self.retries = min(MAX_RETRIES, self.retries + RETRY_FRACTION)

    def try_consume(self) -> bool:
        """Consumes a retry; returns False if none is left."""
        if self.retries < 1.0:
            return False
        self.retries -= 1.0
        return True
