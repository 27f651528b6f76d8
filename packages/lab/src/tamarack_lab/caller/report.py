"""Counters and reports of the caller stand-in."""

import collections
import dataclasses
import itertools

import msgspec

from tamarack_core import verdict


class LoadReport(msgspec.Struct, frozen=True):
    """Outcome of the connections to one work class.

    Attributes:
        service: The service.
        work_class: The work class.
        tried: Number of attempted connections.
        opened: Number of established connections.
        completed: Number of connections that the caller closed normally.
        open: Number of connections that are open or being established.
        broken: Number of established connections that were interrupted, by
            verdict and reason.
        refused: Number of connections never established, by verdict and
            reason.
        requests: Number of requests sent.
        answers: Number of correct answers.
        wrong_service: Number of answers from another service or work class.
        mixed_up: Number of malformed answers and answers to another request.
        latency_p50_s: Median time from request to answer in seconds.
        latency_p99_s: 99th percentile of that time in seconds.
    """

    service: str
    work_class: str
    tried: int
    opened: int
    completed: int
    open: int
    broken: dict[str, int]
    refused: dict[str, int]
    requests: int
    answers: int
    wrong_service: int
    mixed_up: int
    latency_p50_s: float
    latency_p99_s: float


class CallerReport(msgspec.Struct, frozen=True):
    """Outcome of all connections.

    Attributes:
        loads: Report of each load, in the order of the settings.
        unreadable: Number of dropped packets by reason, for example an
            invalid checksum.
    """

    loads: tuple[LoadReport, ...]
    unreadable: dict[str, int]


@dataclasses.dataclass(slots=True)
class Counts:
    """Running counters of one load.

    Attributes:
        tried: Number of attempted connections.
        opened: Number of established connections.
        completed: Number of connections that the caller closed normally.
        broken: Number of established connections that were interrupted, by
            verdict.
        refused: Number of connections never established, by verdict.
        requests: Number of requests sent.
        answers: Number of correct answers.
        wrong_service: Number of answers from another service or work class.
        mixed_up: Number of malformed answers and answers to another request.
        latencies_s: Time from request to answer of each correct answer in
            seconds.
    """

    tried: int = 0
    opened: int = 0
    completed: int = 0
    broken: collections.Counter[verdict.Verdict] = dataclasses.field(
        default_factory=collections.Counter
    )
    refused: collections.Counter[verdict.Verdict] = dataclasses.field(
        default_factory=collections.Counter
    )
    requests: int = 0
    answers: int = 0
    wrong_service: int = 0
    mixed_up: int = 0
    latencies_s: list[float] = dataclasses.field(default_factory=list)

    @property
    def unfinished(self) -> int:
        """Number of connections that are open or being established."""
        return (
            self.tried
            - self.completed
            - sum(itertools.chain(self.refused.values(), self.broken.values()))
        )

    def report(self, service: str, work_class: str) -> LoadReport:
        """Returns the report of the load so far.

        Args:
            service: The service.
            work_class: The work class.
        """
        ordered = sorted(self.latencies_s)
        return LoadReport(
            service=service,
            work_class=work_class,
            tried=self.tried,
            opened=self.opened,
            completed=self.completed,
            open=self.unfinished,
            broken=_by_verdict_text(self.broken),
            refused=_by_verdict_text(self.refused),
            requests=self.requests,
            answers=self.answers,
            wrong_service=self.wrong_service,
            mixed_up=self.mixed_up,
            latency_p50_s=_quantile(ordered, 0.5),
            latency_p99_s=_quantile(ordered, 0.99),
        )


def _by_verdict_text(
    counts: collections.Counter[verdict.Verdict],
) -> dict[str, int]:
    """Returns the counts by verdict and reason as text."""
    return {f"{v.outcome}: {v.reason}": n for v, n in counts.items()}


def _quantile(ordered: list[float], fraction: float) -> float:
    """Returns a quantile of sorted values, or 0 if there are none."""
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
