"""What callers, targets and operators are promised, checked as it happens."""

import collections
import time

CALM_S = 7.0
"""Time after the last fault from which nothing may go wrong any more."""

APPLY_S = 3.0
"""Time in which an acknowledged document is in force, in seconds."""

DRAIN_S = 3.0
"""Time after which a target that leaves gets no new flow, in seconds."""


class Promises:
    """Collects what was broken.

    Attributes:
        broken: What was broken, in words, with the time of the run.
        faults: Faults of the run.
        began_s: Monotonic time of the start of the run.
        runs: Targets that ran each request.
        counts: How often each outcome came.
    """

    def __init__(self, faults):
        """Starts the clock of the run."""
        self.broken = []
        self.faults = faults
        self.began_s = time.monotonic()
        self.runs = collections.defaultdict(list)
        self.counts = collections.Counter()

    @property
    def now_s(self):
        """Time of the run in seconds."""
        return time.monotonic() - self.began_s

    def is_calm(self, at_s, since_s=CALM_S):
        """Returns whether nothing went wrong for some time before `at_s`."""
        return at_s > since_s and not any(
            fault.from_s <= at_s and fault.until_s > at_s - since_s
            for fault in self.faults
        )

    def breaks(self, what):
        """Notes a broken promise."""
        self.broken.append(f"{self.now_s:.3f} s: {what}")

    def note_run(self, request, target):
        """A target runs a request; each runs once at most."""
        self.runs[request].append(target)
        self.counts["run"] += 1
        if len(self.runs[request]) > 1:
            self.breaks(f"{request} runs at {self.runs[request]}")

    def note_refused(self, requests):
        """Callers are told that requests did not run, and that is true."""
        self.counts["refused"] += 1
        for request in requests:
            if self.runs[request]:
                self.breaks(f"{request} was refused and ran")

    def note_reset(self, flow, target, is_alive):
        """An open flow is reset; not in calm while its target lives."""
        self.counts["reset"] += 1
        if is_alive and self.is_calm(self.now_s):
            self.breaks(f"flow {flow} reset while {target} lives")

    def note_unserved(self, flow, why, began_s):
        """A request is not served; in calm each is."""
        self.counts[why] += 1
        if self.is_calm(began_s) and self.is_calm(self.now_s):
            self.breaks(f"flow {flow} in calm: {why}")

    def note_read(self, number, acknowledged, content, sent):
        """A read is the newest acknowledged or newer, as it was sent."""
        self.counts["reads"] += 1
        if number < acknowledged:
            self.breaks(f"read {number} after {acknowledged} was acknowledged")
        if content != sent.get(number):
            self.breaks(f"read {number} is not what was sent")

    def note_opening(self, target, drained_s):
        """A target gets an opening; not long after it said that it leaves."""
        if drained_s is None or self.now_s - drained_s <= DRAIN_S:
            return
        if self.is_calm(self.now_s):
            self.breaks(f"{target} gets a flow after its drain")

    def note_effect(self, number, entry, found, expected):
        """A route that came or went is tried; in calm it is as it was told."""
        self.counts[f"probe {found}"] += 1
        if found != expected and self.is_calm(self.now_s):
            self.breaks(f"route of {number} at {entry}: {found} for {expected}")
