"""Verdict on a request: whether it may have run at a target."""

import dataclasses
import enum


class Outcome(enum.StrEnum):
    """What is known about the execution of a request."""

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Outcome of a request, with the reason.

    Attributes:
        outcome: Whether the request may have run.
        reason: Short constant name, suitable as a metric label.
    """

    outcome: Outcome
    reason: str

    def is_safe_to_retry(self) -> bool:
        """Returns whether a non-idempotent request may be sent again."""
        return self.outcome is Outcome.NOT_RUN


def not_run(reason: str) -> Verdict:
    """Returns the verdict that no payload has reached a target."""
    return Verdict(Outcome.NOT_RUN, reason)


def may_have_run(reason: str) -> Verdict:
    """Returns the verdict that payload was sent to a target."""
    return Verdict(Outcome.MAY_HAVE_RUN, reason)


def unknown(reason: str) -> Verdict:
    """Returns the verdict for a request whose progress was not observed."""
    return Verdict(Outcome.UNKNOWN, reason)
