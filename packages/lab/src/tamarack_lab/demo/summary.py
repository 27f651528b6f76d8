"""Summary of a demonstration and the violations found in it."""

import collections
from collections.abc import Iterator
import dataclasses
import itertools

import tabulate

from tamarack_core import requests
from tamarack_lab.caller import report as reports
from tamarack_lab.target import server as servers

# Time after which a draining target must get no new connection.
DRAIN_GRACE_S = 3.0


@dataclasses.dataclass(slots=True)
class Outcome:
    """Observations of one deployment.

    Attributes:
        name: Name of the deployment.
        callers: Final report of the callers.
        targets: Final reports of the targets.
        version: Last accepted version of the configuration.
        versions: Versions in force by failure domain.
        exit_statuses: Exit status by name of each process that was stopped.
    """

    name: str
    callers: reports.CallerReport
    targets: list[servers.TargetReport]
    version: int
    versions: dict[str, list[int]]
    exit_statuses: dict[str, int] = dataclasses.field(default_factory=dict)

    def problems(self) -> list[str]:
        """Returns the violations as one line each."""
        return [
            f"{self.name}: {problem}"
            for problem in (
                *self._caller_problems(),
                *self._target_problems(),
                *self._system_problems(),
            )
        ]

    def _caller_problems(self) -> Iterator[str]:
        """Yields the violations that the callers observed."""
        for load in self.callers.loads:
            load_name = f"{load.service}/{load.work_class}"
            if not load.opened:
                yield f"{load_name}: no connection was opened"
            if load.broken:
                yield f"{load_name}: broken connections {load.broken}"
            if load.refused:
                yield f"{load_name}: refused connections {load.refused}"
            if load.open:
                yield f"{load_name}: {load.open} connections did not end"
            if load.wrong_service or load.mixed_up:
                yield (
                    f"{load_name}: {load.wrong_service} answers of a wrong "
                    f"service, {load.mixed_up} to a wrong request"
                )
        if self.callers.unreadable:
            yield f"callers: unreadable packets {self.callers.unreadable}"

    def _target_problems(self) -> Iterator[str]:
        """Yields the violations that the targets observed."""
        for target in self.targets:
            if target.repeated:
                yield f"{target.address}: {target.repeated} requests ran twice"
            late = [
                opening
                for opening in target.late
                if opening.after_s > DRAIN_GRACE_S
            ]
            if late:
                yield f"{target.address}: connections after its drain: {late}"

    def _system_problems(self) -> Iterator[str]:
        """Yields wrong versions and failed processes."""
        for domain, versions in self.versions.items():
            if set(versions) != {self.version}:
                yield f"{domain}: versions {versions}, expected {self.version}"
        for name, status in self.exit_statuses.items():
            if status:
                yield f"{name}: exit status {status}"


def imbalance(targets: list[servers.TargetReport]) -> float:
    """Returns the work of the busiest target divided by the mean work."""
    work = [target.work for target in targets]
    mean = sum(work) / len(work) if work else 0.0
    return max(work) / mean if mean else 0.0


def imbalance_in_domains(targets: list[servers.TargetReport]) -> float:
    """Returns the highest imbalance within a failure domain.

    The callers of a failure domain reach only the targets of that domain, so
    the targets of a domain with fewer of them have more work each.
    """
    ordered = sorted(targets, key=lambda target: target.domain)
    groups = itertools.groupby(ordered, key=lambda target: target.domain)
    return max(imbalance(list(group)) for _, group in groups)


def render(outcome: Outcome) -> str:
    """Returns the summary of a deployment as tables."""
    return "\n".join(
        (
            f"== {outcome.name}",
            _render_loads(outcome.callers),
            "",
            _render_services(outcome),
            "",
            _render_versions(outcome),
        )
    )


def _render_loads(callers: reports.CallerReport) -> str:
    """Returns the table of the callers' results."""
    rows = [
        (
            load.service,
            load.work_class,
            load.opened,
            sum(load.broken.values()),
            sum(load.refused.values()),
            load.answers,
            load.wrong_service + load.mixed_up,
            f"{load.latency_p50_s * 1000:.0f}",
            f"{load.latency_p99_s * 1000:.0f}",
        )
        for load in callers.loads
    ]
    headers = (
        "service",
        "class",
        "opened",
        "broken",
        "refused",
        "answers",
        "wrong",
        "p50 ms",
        "p99 ms",
    )
    return tabulate.tabulate(rows, headers)


def _render_services(outcome: Outcome) -> str:
    """Returns the table of the work distribution over targets."""
    by_service: dict[str, list[servers.TargetReport]] = collections.defaultdict(
        list
    )
    for target in outcome.targets:
        # A drained target has less work by design.
        if target.state is requests.TargetState.READY:
            by_service[target.service].append(target)
    rows = [
        (
            service,
            len(targets),
            " ".join(f"{target.work:.0f}" for target in targets),
            f"{imbalance(targets):.2f}",
            f"{imbalance_in_domains(targets):.2f}",
        )
        for service, targets in by_service.items()
    ]
    headers = (
        "service",
        "ready",
        "work units by target",
        "imbalance",
        "within domains",
    )
    return tabulate.tabulate(rows, headers)


def _render_versions(outcome: Outcome) -> str:
    """Returns the table of versions in force."""
    rows = [
        (domain, " ".join(str(version) for version in versions))
        for domain, versions in sorted(outcome.versions.items())
    ]
    return tabulate.tabulate(rows, ("failure domain", "version in force"))
