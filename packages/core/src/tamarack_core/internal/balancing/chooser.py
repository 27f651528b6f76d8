"""Choice of the least loaded target, as seen over all hosts of a domain."""

from collections.abc import Sequence

from tamarack_core import configuration
from tamarack_core import context as context_lib
from tamarack_core import verdict
from tamarack_core.internal.admission import load_shedder as load_shedder_lib
from tamarack_core.internal.admission import retry_budget
from tamarack_core.internal.balancing import health as health_lib
from tamarack_core.internal.balancing import load_table as load_table_lib
from tamarack_core.internal.balancing import slow_start
from tamarack_core.internal.distribution import configuration_store
from tamarack_core.internal.entry import hashing
from tamarack_core.internal.entry import lookup
from tamarack_core.internal.entry import target_choice
from tamarack_core.internal.limits import quota_limiter
from tamarack_core.internal.targets import lease_table

HELD_WEIGHT = 0.01
"""Weight of a held work unit relative to an active one for a bounded flow."""

TIE_UNITS = 0.25
"""Difference in work units up to which two loads count as equal."""

MAX_SLACK_UNITS = 4.0
"""Work units by which a target may exceed the least loaded one.

The maximum applies to a service that weighs nothing but broken flows."""

_FAILURES = frozenset(
    {
        target_choice.Progress.REFUSED_BY_TARGET,
        target_choice.Progress.UNRESPONSIVE,
    }
)


class BalancingChooser:
    """Gives each flow the target with the least load for its capacity.

    Attributes:
        context: Identity, random generator, clocks and counters of the host.
        config_store: Configuration in force.
        targets: Announced targets.
        load_table: Load by target.
        health: Passive health by target.
        slow_start: Reduces the capacity of targets that have just started.
        limiter: Admits openings within the leased quota.
        load_shedder: Sheds openings of overloaded services.
        budgets: Retry budget of each service.
    """

    __slots__ = (
        "budgets",
        "config_store",
        "context",
        "health",
        "limiter",
        "load_shedder",
        "load_table",
        "slow_start",
        "targets",
    )

    def __init__(
        self,
        context: context_lib.Context,
        config_store: configuration_store.ConfigurationStore,
        targets: lease_table.TargetLeaseTable,
        load_table: load_table_lib.LoadTable,
        limiter: quota_limiter.QuotaLimiter,
    ) -> None:
        """Initializes the chooser without observations.

        Args:
            context: Identity, random generator, clocks and counters of the
                host.
            config_store: Configuration in force.
            targets: Announced targets.
            load_table: Load by target.
            limiter: Admits openings within the leased quota.
        """
        self.context = context
        self.config_store = config_store
        self.targets = targets
        self.load_table = load_table
        self.health = health_lib.PassiveHealth()
        self.slow_start = slow_start.SlowStart()
        self.limiter = limiter
        self.load_shedder = load_shedder_lib.LoadShedder()
        self.budgets: dict[str, retry_budget.RetryBudget] = {}

    def choose(
        self, now_s: float, opening: target_choice.Opening
    ) -> target_choice.Choice | target_choice.Refusal:
        """Returns the target for a connection, or why it is refused."""
        choice = self._choose(now_s, opening)
        if isinstance(choice, target_choice.Choice):
            return choice
        has_evacuated = self._has_evacuated(now_s, opening.port)
        return target_choice.Refusal(choice.verdict, has_evacuated)

    def _choose(
        self, now_s: float, opening: target_choice.Opening
    ) -> target_choice.Choice | target_choice.Refusal:
        """Returns the target for a connection, or why it is refused."""
        port = opening.port
        ready = self._usable(now_s, port)
        if not ready:
            reason = target_choice.NO_READY_TARGET
            if self._has_evacuated(now_s, port):
                reason = target_choice.DOMAIN_EVACUATED
            return target_choice.Refusal(verdict.not_run(reason))
        available = [target for target in ready if self._has_room(target, port)]
        if not available:
            return target_choice.Refusal(verdict.not_run("connections-full"))
        eligible = self.health.eligible(now_s, available)
        if self._must_shed(now_s, port, eligible):
            return target_choice.Refusal(verdict.not_run("overload"))
        refused = self.limiter.admit(now_s, port)
        if refused is not None:
            return target_choice.Refusal(refused)
        target = opening.required
        if target not in available:
            target = self._pick_least_loaded(now_s, opening, eligible)
        self.load_table.add(now_s, target, port.settings)
        self.load_shedder.add(port)
        self._budget(port.service).add_opening()
        return target_choice.Choice(target)

    def may_retry(self, now_s: float, port: lookup.ServicePort) -> bool:
        """Returns whether an opening without a reply may be retried.

        The retry goes to another target. Retries are limited to a fraction
        of the openings, and none is allowed while the service sheds load.
        """
        if self.load_shedder.is_shedding(now_s, port.service):
            return False
        return self._budget(port.service).try_consume()

    def _budget(self, service: str) -> retry_budget.RetryBudget:
        """Returns the retry budget of a service."""
        return self.budgets.setdefault(service, retry_budget.RetryBudget())

    def observe(
        self, now_s: float, observation: target_choice.Observation
    ) -> None:
        """Updates load, health and quota by an event of a flow."""
        progress = observation.progress
        target = observation.target
        settings = observation.port.settings
        if progress is target_choice.Progress.OPENED:
            self.load_table.take_over(target, settings)
            self.load_shedder.add(observation.port)
            self.limiter.add(observation.port)
        elif progress is target_choice.Progress.ESTABLISHED:
            if self.health.record_handshake(
                now_s, target, observation.elapsed_s
            ):
                self.slow_start.restart(now_s, target)
        elif progress is target_choice.Progress.REPLIED:
            self._observe_reply(now_s, observation)
        if progress in _FAILURES and self._is_target_fault(now_s, target):
            self.health.record_failure(now_s, target)
        if progress in target_choice.FINAL_PROGRESS:
            has_reply = progress is target_choice.Progress.CLOSED
            self.load_table.remove(target, observation.port, has_reply)
            self.load_shedder.remove(observation.port)
            self.limiter.remove(observation.port)

    def _observe_reply(
        self, now_s: float, observation: target_choice.Observation
    ) -> None:
        """Records the first reply on a connection."""
        port = observation.port
        targets = self._usable(now_s, port)
        has_queue = self._active(now_s, targets) > self._slots(targets)
        self.load_shedder.record_reply(port, observation.elapsed_s, has_queue)
        self.load_table.record_reply(now_s, observation.target, port.settings)

    def _usable(self, now_s: float, port: lookup.ServicePort) -> list[bytes]:
        """Returns the targets that accept new flows and aren't evacuated."""
        evacuated = self.config_store.numbered.configuration.evacuated_domains
        return self.targets.ready(
            now_s, port.service, len(port.address), evacuated
        )

    def _has_evacuated(self, now_s: float, port: lookup.ServicePort) -> bool:
        """Returns whether evacuations take targets of a service away.

        Once the targets of an evacuated domain are shut down, the hosts of the
        domain know no target, and the evacuation is still the cause.
        """
        evacuated = self.config_store.numbered.configuration.evacuated_domains
        if not evacuated:
            return False
        ready = self.targets.ready(now_s, port.service, len(port.address))
        return self.context.host.domain in evacuated or len(ready) > len(
            self._usable(now_s, port)
        )

    def _must_shed(
        self, now_s: float, port: lookup.ServicePort, targets: list[bytes]
    ) -> bool:
        """Returns whether this opening must be refused because of overload."""
        active = self._active(now_s, targets)
        slots = self._slots(targets)
        return self.load_shedder.must_shed(now_s, port, active, slots)

    def _active(self, now_s: float, targets: Sequence[bytes]) -> float:
        """Returns the sum of the active work units of some targets."""
        return sum(self.load_table.active(now_s, target) for target in targets)

    def _slots(self, targets: Sequence[bytes]) -> float:
        """Returns the sum of the slots of some targets."""
        entries = (self.targets.targets[target] for target in targets)
        return float(sum(entry.announcement.slots for entry in entries))

    def _is_target_fault(self, now_s: float, target: bytes) -> bool:
        """Returns whether a failed opening counts against the health.

        A target with more load than slots refuses openings because it is
        full, which is no fault.
        """
        lease = self.targets.targets.get(target)
        slots = lease.announcement.slots if lease else 1
        return self.load_table.active(now_s, target) <= slots

    def _has_room(self, target: bytes, port: lookup.ServicePort) -> bool:
        """Returns whether a target has room for one more connection.

        The announced number of connections limits the long-lived ones.
        """
        announcement = self.targets.targets[target].announcement
        cost = port.settings.cost
        held = self.load_table.held(target) / cost if cost else 0.0
        return held < announcement.connections

    def _pick_least_loaded(
        self, now_s: float, opening: target_choice.Opening, targets: list[bytes]
    ) -> bytes:
        """Returns a target with low load for its capacity.

        Among targets whose loads count as equal, the one with the highest
        hash weight is chosen, the default target of the flow. A flow at its
        default target survives the loss of every host that knows the flow.
        """
        loads = self._loads(now_s, opening.port, targets)
        capacities = self._capacities(now_s, targets)
        slack = TIE_UNITS + _slack(opening.port.weights)
        bound = min(
            (load + slack) / capacity
            for load, capacity in zip(loads, capacities, strict=True)
        )
        candidates = [
            target
            for target, load, capacity in zip(
                targets, loads, capacities, strict=True
            )
            if load / capacity <= bound
        ]
        return max(
            candidates, key=lambda target: hashing.weight(opening.flow, target)
        )

    def _loads(
        self, now_s: float, port: lookup.ServicePort, targets: Sequence[bytes]
    ) -> list[float]:
        """Returns the load of each target, weighted for the work class."""
        bounded = port.settings.lifetime is configuration.Lifetime.BOUNDED
        weight = HELD_WEIGHT if bounded else 1.0
        return [
            self.load_table.active(now_s, target)
            + weight * self.load_table.held(target)
            for target in targets
        ]

    def _capacities(
        self, now_s: float, targets: Sequence[bytes]
    ) -> list[float]:
        """Returns the capacity of each target in work units, above 0."""
        announced = [self.targets.targets[target] for target in targets]
        unhealthy = {
            target
            for target, entry in zip(targets, announced, strict=True)
            if not entry.announcement.healthy
        }
        factors = self.health.capacity_factors(now_s, targets, unhealthy)
        return [
            max(1, entry.announcement.slots)
            * factor
            * self.slow_start.factor(now_s, target, entry.announcement)
            for target, entry, factor in zip(
                targets, announced, factors, strict=True
            )
        ]


def _slack(weights: configuration.Weights) -> float:
    """Returns the work units by which the default target may exceed others.

    The others are the least loaded ones.

    A service that weighs broken flows higher than imbalance keeps more flows
    at their default targets.
    """
    total = weights.broken_flows + weights.imbalance
    if not total:
        return 0.0
    preference = (weights.broken_flows - weights.imbalance) / total
    return MAX_SLACK_UNITS * max(0.0, preference)
