"""Checks of the promises to callers, targets and operators.

A promise is an invariant of the system, or a guarantee that holds in
calm, which is while no fault is recent.
"""

import collections
import time

from tests.soak import plan

CALM_S = 7.0
"""Time after the last fault until all promises hold again, in seconds."""

APPLY_S = 3.0
"""Time until an acknowledged document is in force, in seconds."""

DRAIN_S = 3.0
"""Time until a draining target gets no new flow, in seconds."""


EVACUATE_S = 5.0
"""Time until the targets of an evacuated domain get no new flow, in seconds."""

ACKNOWLEDGE_S = 6.0
"""Time until an order is acknowledged in calm, in seconds."""

CUTS = frozenset({"freeze", "cut", "cut-out", "cut-in"})
"""Faults of an entry host that end its contact with the control hosts."""

LOSSES = CUTS | {"kill", plan.LOSES_DISK, plan.STOPS_CONTROL, "disk-full"}
"""Faults that disable a control host. The deployments tolerate one of them."""

LOSSES_OF_ALL = frozenset({"kill-all", "kill-all-controls"})


class Promises:
    """Records outcomes and collects violations.

    Attributes:
        broken: Descriptions of violations, with the time of the run.
        faults: Faults of the run.
        started_s: Monotonic time of the start of the run.
        runs: Targets that ran each request.
        counts: Number of times of each outcome.
        entries: Names of the entry hosts by address.
        evacuated_s: Times at which the evacuations in force were acknowledged,
            in seconds, by domain.
    """

    def __init__(self, faults):
        """Starts the clock of the run."""
        self.broken = []
        self.faults = faults
        self.started_s = time.monotonic()
        self.runs = collections.defaultdict(list)
        self.counts = collections.Counter()
        self.entries = {}
        self.evacuated_s = {}

    @property
    def now_s(self):
        """Time of the run in seconds."""
        return time.monotonic() - self.started_s

    def is_calm(self, at_s, since_s=CALM_S):
        """Returns whether no fault was active for `since_s` before `at_s`."""
        return at_s > since_s and not any(
            fault.from_s <= at_s and fault.until_s > at_s - since_s
            for fault in self.faults
        )

    def record_violation(self, what):
        """Records a violation."""
        self.broken.append(f"{self.now_s:.3f} s: {what}")

    def record_run(self, request, target):
        """Records that a target ran a request, which runs at most once."""
        self.runs[request].append(target)
        self.counts["run"] += 1
        if len(self.runs[request]) > 1:
            self.record_violation(f"{request} runs at {self.runs[request]}")

    def record_refused(self, requests):
        """Records a refusal, which must not cover requests that ran."""
        self.counts["refused"] += 1
        for request in requests:
            if self.runs[request]:
                self.record_violation(f"{request} was refused and ran")

    def record_reset(self, flow, target, is_alive):
        """Records a reset; a violation in calm if the target is alive."""
        self.counts["reset"] += 1
        if is_alive and self.is_calm(self.now_s):
            self.record_violation(f"flow {flow} reset while {target} lives")

    def record_unserved(self, flow, why, started_s):
        """Records an unserved request; a violation in calm."""
        self.counts[why] += 1
        if self.is_calm(started_s) and self.is_calm(self.now_s):
            self.record_violation(f"flow {flow} in calm: {why}")

    def record_read(self, number, acknowledged, content, sent):
        """Records a read, which must be as sent and not outdated."""
        self.counts["reads"] += 1
        if number < acknowledged:
            self.record_violation(
                f"read {number} after {acknowledged} was acknowledged"
            )
        if content != sent.get(number):
            self.record_violation(f"read {number} is not what was sent")

    def record_opening(self, target, drained_s):
        """Records an opening; a violation in calm long after a drain."""
        if drained_s is None or self.now_s - drained_s <= DRAIN_S:
            return
        if self.is_calm(self.now_s):
            self.record_violation(f"{target} gets a flow after its drain")

    def is_in_contact(self, entry, at_s):
        """Returns whether an entry host was in contact for `EVACUATE_S`.

        It is in contact if it isn't cut off or frozen, and if no more control
        hosts fail at once than the deployment tolerates.
        """
        recent = [
            fault
            for fault in self.faults
            if fault.from_s <= at_s and fault.until_s > at_s - EVACUATE_S
        ]
        lost = {
            fault.subject
            for fault in recent
            if fault.subject.startswith("c") and fault.kind in LOSSES
        }
        return len(lost) <= 1 and not any(
            fault.kind in LOSSES_OF_ALL
            or (fault.subject == entry and fault.kind in CUTS)
            for fault in recent
        )

    def record_domain(self, target, domain, address):
        """Records an opening; a violation long after an evacuation.

        Args:
            target: Name of the target.
            domain: Its failure domain.
            address: Address of the entry host that sent the opening.
        """
        since_s = self.now_s - EVACUATE_S
        late = [one for one, at_s in self.evacuated_s.items() if at_s < since_s]
        entry = self.entries.get(address, address)
        if not late or not self.is_in_contact(entry, self.now_s):
            return
        self.counts["opened during an evacuation"] += 1
        if domain in late:
            self.record_violation(
                f"{target} in {domain} gets a flow by {entry}, evacuated at"
                f" {self.evacuated_s[domain]:.3f} s"
            )

    def record_order(self, order, began_s):
        """Records an acknowledged order; a violation if it took long in calm.

        Args:
            order: The order.
            began_s: Time at which it was first sent, in seconds.
        """
        self.counts["orders"] += 1
        took_s = self.now_s - began_s
        was_calm = self.is_calm(began_s) and self.is_calm(self.now_s)
        if took_s > ACKNOWLEDGE_S and was_calm:
            self.record_violation(f"{order} takes {took_s:.1f} s in calm")

    def record_effect(self, number, entry, outcome, expected):
        """Records a probe of a route, whose outcome is as expected in calm."""
        self.counts[f"probe {outcome}"] += 1
        if outcome != expected and self.is_calm(self.now_s):
            self.record_violation(
                f"route of {number} at {entry}: {outcome} for {expected}"
            )
