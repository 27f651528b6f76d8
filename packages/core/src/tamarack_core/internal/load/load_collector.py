"""Reports of an entry host on reply times and openings."""

from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import events
from tamarack_core import reducer
from tamarack_core import sync
from tamarack_core.internal.cookie import subscription as subscriptions
from tamarack_core.internal.load import reply_statistics

TIMER = "load-report"

REPORT_INTERVAL_S = 1.0
"""Interval of the reports, in seconds."""

MILLI = 1000


class LoadCollector:
    """Component that reports load, and receives summaries of it.

    Attributes:
        context: Identity, random generator, clocks and counters of the host.
        subscription: Subscription to a control host.
        replies: Reply times of targets.
    """

    __slots__ = ("context", "replies", "subscription")

    def __init__(
        self,
        context: context_lib.Context,
        subscription: subscriptions.ControlSubscription,
        replies: reply_statistics.ReplyStatistics,
    ) -> None:
        """Initializes the collector.

        Args:
            context: Identity, random generator, clocks and counters of the
                host.
            subscription: Subscription to a control host.
            replies: Reply times of targets.
        """
        self.context = context
        self.subscription = subscription
        self.replies = replies

    def handlers(self) -> dict[reducer.Key, reducer.Handler]:
        """Returns the event handlers by key."""
        return {
            events.Started: self.handle_timer,
            TIMER: self.handle_timer,
            sync.LoadSummary: self.handle_summary,
        }

    def handle_timer(
        self, event: events.TimerFired | events.Started
    ) -> list[effects.Effect]:
        """Reports what was observed since the last run, if anything."""
        result: list[effects.Effect] = [
            effects.StartTimer(TIMER, REPORT_INTERVAL_S)
        ]
        openings = self.subscription.load.take_openings(event.now_s)
        replies = tuple(
            sync.TargetReplies(tag, sums.count, round(sums.log_ratio * MILLI))
            for tag, sums in self.replies.take().items()
        )
        publisher = self.subscription.publisher
        if publisher is not None and (openings or replies):
            report = sync.LoadReport(replies, openings)
            result.append(effects.SendMessage(publisher, report))
            self.context.counters["load-reports"] += 1
        return result

    def handle_summary(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Applies a summary of the control host that this host follows."""
        summary = event.message
        assert isinstance(summary, sync.LoadSummary)
        publisher = self.subscription.publisher
        if publisher is None or publisher.host != event.sender.host:
            self.context.counters["load-summary-of-other"] += 1
            return []
        load = self.subscription.load
        before = load.weights_at(event.now_s)
        skipped = load.put(event.now_s, summary)
        self.context.counters["load-summaries"] += 1
        self.context.counters["load-values-skipped"] += skipped
        if load.weights == before and not skipped:
            return []
        return [
            self.context.record(
                event.now_s,
                "weights-in-force",
                reason="absurd-values" if skipped else "",
                detail=f"{len(load.weights)} weights other than 100 by"
                f" {event.sender.host}; {skipped} values skipped",
            )
        ]
