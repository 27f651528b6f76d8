"""Sums up the load that entry hosts report, and decides weights of targets.

Each control host sums up the reports of the entry hosts that follow it, sends
the sums to the other control hosts once a second, and decides on the sums of
all. The traffic between control hosts grows with the number of targets and
services, not with that of entry hosts. A domain that is cut off goes on with
the reports of its own hosts.
"""

import collections

import msgspec

from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import events
from tamarack_core import reducer
from tamarack_core import sync
from tamarack_core import target_announcement
from tamarack_core.internal import change_entries
from tamarack_core.internal import target_tags
from tamarack_core.internal.cookie import flow_state
from tamarack_core.internal.load import ramp_up
from tamarack_core.internal.load import reply_statistics
from tamarack_core.internal.load import target_weights
from tamarack_core.internal.registry import publisher as publishers
from tamarack_core.internal.registry import target_registry

TIMER = "load-summary"

INTERVAL_S = 1.0
"""Interval of the totals, the decisions and the summaries, in seconds."""

REPEAT_S = 3.0
"""Time after which a summary is repeated though nothing changed, in seconds.
Entry hosts forget openings a second after 5 s, and one summary may be lost."""

MIN_REPORT_S = 0.5
"""Shortest time between two messages of one host that count, in seconds. A
message that was repeated on a link arrives together with the other copy."""

MAX_REPLIES = 2_000
"""Most replies of one target in a report. An entry host of the largest size
passes fewer in a second."""

MAX_TOTAL_REPLIES = 200_000
"""Most replies of one target in the totals of a control host."""

MAX_OPENINGS = 10_000_000
"""Most openings of one service in one message."""

RATE_WEIGHT = 0.5
"""Weight of the newest second in the openings a second."""

RATE_CHANGE = 0.1
"""Relative change of openings a second that is sent to entry hosts."""

MIN_RATE_CHANGE_PER_S = 1.0
"""Smallest change of openings a second that is sent to entry hosts."""

MIN_RATE_PER_S = 0.01
"""Openings a second below which a service no longer counts as in use."""

MILLI = 1000
_CLIP_MILLI = round(reply_statistics.CLIP_LOG * MILLI)


class Sums(msgspec.Struct):
    """Replies and openings that hosts reported.

    Attributes:
        replies: Count and sum of the log ratios, in thousandths, by tag.
        openings: Openings by service.
    """

    replies: dict[int, tuple[int, int]] = {}
    openings: collections.Counter[str] = msgspec.field(
        default_factory=collections.Counter
    )

    def add(
        self,
        replies: tuple[sync.TargetReplies, ...],
        openings: dict[str, int],
    ) -> None:
        """Adds what a host reported."""
        for one in replies:
            count, log_milli = self.replies.get(one.start_tag, (0, 0))
            self.replies[one.start_tag] = (
                count + one.count,
                log_milli + one.log_milli,
            )
        self.openings.update(openings)


class LoadAggregator:
    """Component of a control host that sums up load and decides weights.

    Attributes:
        context: Identity, random generator, clocks and counters of the host.
        publisher: Knows the subscribers and the other control hosts.
        registry: Announced targets.
        weights: Decides the weights by speed.
        ramp_ups: Decides the weights of new targets.
        suspected_s: Time of the last report that a target is dead, in seconds,
            by name of the target.
        own: Sums of the reports since the last totals.
        others: Sums of the totals of other control hosts since then.
        rates: Openings a second by service.
        received_s: Time of the last message that counted, in seconds, by host.
        services: Tags of the starts of the targets by service.
        names: Names of the targets by tag of their start.
        position: Position of the registry for which `services` holds.
        ticked_s: Time of the last run of the timer, in seconds.
        summary: The last summary sent.
        summary_s: Time from which it was sent, in seconds.
        informed: Names of the entry hosts that it was sent to.
    """

    __slots__ = (
        "context",
        "informed",
        "names",
        "others",
        "own",
        "position",
        "publisher",
        "ramp_ups",
        "rates",
        "received_s",
        "registry",
        "services",
        "summary",
        "summary_s",
        "suspected_s",
        "ticked_s",
        "weights",
    )

    def __init__(
        self,
        context: context_lib.Context,
        publisher: publishers.Publisher,
        registry: target_registry.TargetRegistry,
    ) -> None:
        """Initializes the aggregator.

        Args:
            context: Identity, random generator, clocks and counters of the
                host.
            publisher: Knows the subscribers and the other control hosts.
            registry: Announced targets.
        """
        self.context = context
        self.publisher = publisher
        self.registry = registry
        self.weights = target_weights.TargetWeights()
        self.ramp_ups = ramp_up.RampUps()
        self.suspected_s: dict[str, float] = {}
        self.own = Sums()
        self.others = Sums()
        self.rates: dict[str, float] = {}
        self.received_s: dict[str, float] = {}
        self.services: dict[str, list[int]] = {}
        self.position = -1
        self.ticked_s = float("inf")
        self.summary = sync.LoadSummary()
        self.summary_s = float("-inf")
        self.informed: set[str] = set()
        self.names: dict[int, str] = {}

    def handlers(self) -> dict[reducer.Key, reducer.Handler]:
        """Returns the event handlers by key."""
        return {
            events.Started: self.handle_timer,
            TIMER: self.handle_timer,
            sync.LoadReport: self.handle_report,
            sync.LoadTotals: self.handle_totals,
            sync.SuspectTargets: self.handle_suspects,
        }

    def handle_report(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Adds the report of a subscribed entry host."""
        report = event.message
        assert isinstance(report, sync.LoadReport)
        subscriber = self.publisher.subscribers.get(event.sender.host)
        is_known = subscriber is not None and not subscriber.is_control
        if self._accepts(event, is_known=is_known):
            self.own.add(
                self._valid_replies(report.replies, MAX_REPLIES),
                self._valid_openings(report.openings),
            )
        return []

    def handle_totals(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Adds the totals of another control host."""
        totals = event.message
        assert isinstance(totals, sync.LoadTotals)
        name = event.sender.host
        is_known = name != self.context.host.host and any(
            peer.host == name for peer in self.publisher.controls
        )
        if self._accepts(event, is_known=is_known):
            self.others.add(
                self._valid_replies(totals.replies, MAX_TOTAL_REPLIES),
                self._valid_openings(totals.openings),
            )
        return []

    def handle_suspects(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Records targets that a host found dead; they are to be ramped up."""
        message = event.message
        assert isinstance(message, sync.SuspectTargets)
        name = event.sender.host
        if name in self.publisher.subscribers or any(
            peer.host == name for peer in self.publisher.controls
        ):
            for target in message.targets:
                if target in self.registry.records:
                    self.suspected_s[target] = event.now_s
        return []

    def _unusable(self, now_s: float) -> set[int]:
        """Returns the tags of the targets that hosts do not use."""
        self.suspected_s = {
            name: at_s
            for name, at_s in self.suspected_s.items()
            if now_s - at_s < flow_state.REPORT_LIFETIME_S
        }
        evacuated = self.publisher.evacuations.domains
        return {
            tag
            for tag, name in self.names.items()
            if (record := self.registry.records.get(name)) is not None
            and (
                record.is_overdue
                or record.target.domain in evacuated
                or name in self.suspected_s
            )
        }

    def _accepts(self, event: events.MessageArrived, *, is_known: bool) -> bool:
        """Returns whether a message counts; counts why it does not."""
        if not is_known:
            self.context.counters["load-of-unknown-host"] += 1
            return False
        name = event.sender.host
        last_s = self.received_s.get(name, float("-inf"))
        if event.now_s - last_s < MIN_REPORT_S:
            self.context.counters["load-repeated"] += 1
            return False
        self.received_s[name] = event.now_s
        return True

    def _valid_replies(
        self, replies: tuple[sync.TargetReplies, ...], most: int
    ) -> tuple[sync.TargetReplies, ...]:
        """Returns the replies that can be true; counts the others."""
        self._refresh_services()
        valid = {
            one.start_tag: one
            for one in replies
            if one.start_tag in self.names
            and 0 < one.count <= most
            and abs(one.log_milli) <= (_CLIP_MILLI + 1) * one.count
        }
        skipped = len(replies) - len(valid)
        self.context.counters["load-values-skipped"] += skipped
        return tuple(valid.values())

    def _valid_openings(self, openings: dict[str, int]) -> dict[str, int]:
        """Returns the openings that can be true; counts the others."""
        valid = {
            service: count
            for service, count in openings.items()
            if service in self.registry.services and 0 < count <= MAX_OPENINGS
        }
        skipped = len(openings) - len(valid)
        self.context.counters["load-values-skipped"] += skipped
        return valid

    def _refresh_services(self) -> None:
        """Updates the tags of the targets if the registry has changed."""
        if self.position == self.registry.position:
            return
        self.position = self.registry.position
        self.services = {}
        self.names = {}
        for record in self.registry.records.values():
            target = record.target
            if target.phase is not target_announcement.Phase.GONE:
                tag = target_tags.start_tag_of(target)
                self.services.setdefault(target.service, []).append(tag)
                self.names[tag] = target.name

    def handle_timer(
        self, event: events.TimerFired | events.Started
    ) -> list[effects.Effect]:
        """Sends totals, decides weights, and sends a summary if it is due."""
        now_s = event.now_s
        elapsed_s = now_s - self.ticked_s
        self.ticked_s = now_s
        result: list[effects.Effect] = [effects.StartTimer(TIMER, INTERVAL_S)]
        if elapsed_s < INTERVAL_S / 2:
            return result
        self.received_s = {
            host: at_s
            for host, at_s in self.received_s.items()
            if now_s - at_s < MIN_REPORT_S
        }
        result += self._send_totals()
        own, self.own = self.own, Sums()
        others, self.others = self.others, Sums()
        self._update_rates(elapsed_s, own.openings + others.openings)
        result += self._update_weights(now_s, own, others)
        return [*result, *self._send_summary(now_s)]

    def _send_totals(self) -> list[effects.Effect]:
        """Sends the sums of the reports to the other control hosts."""
        if not self.own.replies and not self.own.openings:
            return []
        totals = sync.LoadTotals(
            tuple(
                sync.TargetReplies(tag, count, log_milli)
                for tag, (count, log_milli) in self.own.replies.items()
            ),
            dict(self.own.openings),
        )
        return [
            effects.SendMessage(peer, totals)
            for peer in self.publisher.controls
            if peer.host != self.context.host.host
        ]

    def _update_rates(
        self, elapsed_s: float, openings: collections.Counter[str]
    ) -> None:
        """Updates the openings a second of all services."""
        rates = {
            service: (1 - RATE_WEIGHT) * self.rates.get(service, 0.0)
            + RATE_WEIGHT * openings[service] / elapsed_s
            for service in self.rates.keys() | openings.keys()
        }
        self.rates = {
            service: rate
            for service, rate in rates.items()
            if rate > MIN_RATE_PER_S
        }

    def _update_weights(
        self, now_s: float, own: Sums, others: Sums
    ) -> list[effects.Effect]:
        """Decides the weights, and records what changed."""
        sums = dict(own.replies)
        for tag, (count, log_milli) in others.replies.items():
            held_count, held_milli = sums.get(tag, (0, 0))
            sums[tag] = (held_count + count, held_milli + log_milli)
        self._refresh_services()
        replies = {
            tag: (count, log_milli / MILLI)
            for tag, (count, log_milli) in sums.items()
        }
        result = self._update_ramp_ups(now_s, replies)
        ramps = self.ramp_ups.ramps
        steady = {
            service: [tag for tag in tags if tag not in ramps]
            for service, tags in self.services.items()
        }
        before = self.weights.weights
        if not self.weights.update(now_s, steady, replies):
            return result
        after = self.weights.weights
        changed = [
            tag
            for tag in before.keys() | after.keys()
            if before.get(tag) != after.get(tag)
        ]
        some = ", ".join(
            f"{self.names.get(tag, 'gone')}"
            f" {after.get(tag, target_weights.FULL_PERCENT)}"
            for tag in changed[: change_entries.MAX_ENTRIES]
        )
        total = sum(count for count, _ in sums.values())
        return [
            *result,
            self.context.record(
                now_s,
                "weights-changed",
                detail=f"{len(changed)} changed, such as: {some};"
                f" {len(after)} of {len(self.names)} other than 100,"
                f" by {total} replies",
            ),
        ]

    def _ramped_up(self) -> dict[str, float]:
        """Returns the warm-up times of the services with ramp-ups."""
        return {
            **dict.fromkeys(self.weights.uneven, 0.0),
            **{
                service.name: service.warm_up_s
                for service in self.publisher.routes.document.services
                if service.warm_up_s > 0
            },
        }

    def _update_ramp_ups(
        self, now_s: float, replies: dict[int, tuple[int, float]]
    ) -> list[effects.Effect]:
        """Decides the weights of new targets, and records what changed."""
        changes = self.ramp_ups.update(
            now_s,
            self.services,
            self._ramped_up(),
            self._unusable(now_s),
            replies,
        )
        for tag, ramp in changes.ended.items():
            if not ramp.is_complete():
                self.weights.set_estimate(tag, -ramp.pace, ramp.variance)
        return [
            self._record_ramp_ups(now_s, kind, tags, replies)
            for kind, tags in (
                ("ramp-ups-begun", changes.begun),
                ("ramp-ups-risen", changes.risen),
                ("ramp-ups-fallen", changes.fallen),
                ("ramp-ups-ended", list(changes.ended)),
            )
            if tags
        ]

    def _record_ramp_ups(
        self,
        now_s: float,
        kind: str,
        tags: list[int],
        replies: dict[int, tuple[int, float]],
    ) -> effects.Effect:
        """Returns the time line entry of ramp-ups that changed alike."""
        self.context.counters[kind] += len(tags)
        weights = self.ramp_ups.weights
        some = ", ".join(
            f"{self.names.get(tag, 'gone')}"
            f" {weights.get(tag, ramp_up.FULL_PERCENT)}"
            for tag in tags[: change_entries.MAX_ENTRIES]
        )
        total = sum(replies[tag][0] for tag in tags if tag in replies)
        return self.context.record(
            now_s,
            kind,
            detail=f"{len(tags)} targets, such as: {some};"
            f" {len(self.ramp_ups.ramps)} in progress, by {total} replies",
        )

    def _send_summary(self, now_s: float) -> list[effects.Effect]:
        """Sends a summary to the entry hosts that lack it."""
        weights = {**self.weights.weights, **self.ramp_ups.weights}
        ramped_up = tuple(sorted(self._ramped_up()))
        is_changed = (
            weights != self.summary.weights
            or ramped_up != self.summary.ramped_up
            or self._have_rates_changed()
        )
        if is_changed or now_s - self.summary_s >= REPEAT_S:
            self.summary = sync.LoadSummary(
                weights,
                {service: round(r, 2) for service, r in self.rates.items()},
                ramped_up,
            )
            self.summary_s = now_s
            self.informed.clear()
        is_empty = self.summary == sync.LoadSummary()
        if is_empty and not is_changed:
            return []
        receivers = [
            peer
            for peer in self.publisher.entry_subscribers(now_s)
            if peer.host not in self.informed
        ]
        self.informed |= {peer.host for peer in receivers}
        return [effects.SendMessage(peer, self.summary) for peer in receivers]

    def _have_rates_changed(self) -> bool:
        """Returns whether openings a second differ from those last sent."""
        sent = self.summary.openings_per_s
        for service in sent.keys() | self.rates.keys():
            before, now = sent.get(service, 0.0), self.rates.get(service, 0.0)
            limit = max(RATE_CHANGE * before, MIN_RATE_CHANGE_PER_S)
            if abs(now - before) > limit:
                return True
        return False
