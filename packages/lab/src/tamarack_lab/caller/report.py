"""Counts of a caller."""

import collections
import dataclasses
import itertools

import msgspec

from tamarack_core import verdict


class LoadReport(msgspec.Struct, frozen=True):
    """What became of the connections to one work class.

    Attributes:
        service: The service.
        work_class: The work class.
        tried: Connections tried.
        opened: Connections established.
        completed: Connections that ended as their caller meant them to.
        open: Connections open or being established now.
        broken: Established connections that were cut, by verdict and reason.
        refused: Connections never established, by verdict and reason.
        requests: Requests sent.
        answers: Right answers received.
        wrong_service: Answers of another service or work class.
        mixed_up: Answers to another request.
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
    """What became of all connections.

    Attributes:
        loads: Report of each work class.
        unreadable: Packets dropped, by reason; bad checksums among them.
    """

    loads: tuple[LoadReport, ...]
    unreadable: dict[str, int]


@dataclasses.dataclass(slots=True)
class Counts:
    """Counts of one work class, as they grow.

    Attributes:
        tried: Connections tried.
        opened: Connections established.
        completed: Connections that ended as their caller meant them to.
        broken: Established connections that were cut, by verdict.
        refused: Connections never established, by verdict.
        requests: Requests sent.
        answers: Right answers received.
        wrong_service: Answers of another service or work class.
        mixed_up: Answers to another request.
        latencies_s: Time from request to answer in seconds.
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
        """Connections that are open or being established."""
        return (
            self.tried
            - self.completed
            - sum(itertools.chain(self.refused.values(), self.broken.values()))
        )

    def report(self, service: str, work_class: str) -> LoadReport:
        """Returns the counts so far.

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
    """Returns counts by the text form of the verdict."""
    return {f"{v.outcome}: {v.reason}": n for v, n in counts.items()}


def _quantile(ordered: list[float], fraction: float) -> float:
    """Returns a quantile of sorted values; 0 without any."""
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
