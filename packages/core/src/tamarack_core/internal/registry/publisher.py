"""Publishes changes of targets and routes to subscribed hosts."""

from collections.abc import Sequence

import msgspec

from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import evacuations as evacuations_lib
from tamarack_core import events
from tamarack_core import peers
from tamarack_core import reducer
from tamarack_core import sync
from tamarack_core.internal import change_entries
from tamarack_core.internal.cold_targets import allotment as allotment_lib
from tamarack_core.internal.documents import allotment_log
from tamarack_core.internal.documents import state_machine as machines
from tamarack_core.internal.registry import entry_host_count
from tamarack_core.internal.registry import route_history as histories
from tamarack_core.internal.registry import target_registry

SUBSCRIPTION_S = 3.5
"""Time after its last request for which a host is sent changes, in seconds."""

SETTLE_INTERVALS = 2.0
"""Announcement intervals after which all live targets have announced themselves
to a control host that started without any targets."""

MIN_REPEAT_S = 0.3
"""Time in which a host without a document gets no second response, in seconds.
A host that starts repeats its request before a large document has arrived."""

PUSH_INTERVAL_S = 0.03
"""Shortest time between two pushes, in seconds. When thousands of targets
announce themselves at once, their changes are sent together."""

TIMER = "push"

MS_PER_S = 1000

_RUN_BITS = 48


class Subscriber(msgspec.Struct):
    """A host that sent a request recently.

    Attributes:
        peer: The host.
        position: Last change that it holds, or was sent.
        number: Number of the document that it holds, or was sent.
        is_control: Whether it is a control host.
        requested_s: Time of its last request, in seconds.
        controls: Control hosts that it was sent.
        is_confirmed: Whether it was told that this host is confirmed.
        revision: Revision of the evacuations that it holds, or was sent.
        allotment: Number of the last allotment that it was told of.
        round: Round of its last request.
    """

    peer: peers.Peer
    position: int
    number: int
    is_control: bool
    requested_s: float
    controls: tuple[peers.Peer, ...] = ()
    is_confirmed: bool = False
    revision: int = 0
    allotment: int = 0
    round: int = 0


class Publisher:
    """Component that responds to sync requests and pushes changes.

    Attributes:
        context: Identity, random generator, clocks and counters of the host.
        registry: Announced targets.
        routes: History of the routes.
        evacuations: The evacuated failure domains.
        ended_s: Time at which this host learned of the end of an evacuation,
            in seconds, by domain and revision.
        allotments: Allotments of cold targets.
        run: Identifier of this run of the process.
        subscribers: Hosts that sent a request recently, by name.
        controls: Live control hosts.
        started_s: Time of the start, in seconds.
        pushed_s: Time of the last push, in seconds.
        is_push_due: Whether the timer of a delayed push is running.
        is_confirmed: Whether this host is in contact with a quorum of the
            control hosts.
        entry_hosts: Estimate of the number of entry hosts.
    """

    __slots__ = (
        "allotments",
        "context",
        "controls",
        "ended_s",
        "entry_hosts",
        "evacuations",
        "is_confirmed",
        "is_push_due",
        "pushed_s",
        "registry",
        "routes",
        "run",
        "started_s",
        "subscribers",
    )

    def __init__(
        self,
        context: context_lib.Context,
        registry: target_registry.TargetRegistry,
    ) -> None:
        """Initializes the publisher.

        Args:
            context: Identity, random generator, clocks and counters of the
                host.
            registry: Announced targets.
        """
        self.context = context
        self.registry = registry
        self.routes = histories.RouteHistory()
        self.evacuations = evacuations_lib.Evacuations()
        self.ended_s: dict[tuple[str, int], float] = {}
        self.allotments = allotment_log.AllotmentLog()
        self.run = f"{context.random.getrandbits(_RUN_BITS):012x}"
        self.subscribers: dict[str, Subscriber] = {}
        self.controls: tuple[peers.Peer, ...] = (context.host,)
        self.started_s = float("inf")
        self.pushed_s = float("-inf")
        self.is_push_due = False
        self.is_confirmed = False
        self.entry_hosts = entry_host_count.EntryHostCount()

    def handlers(self) -> dict[reducer.Key, reducer.Handler]:
        """Returns the event handlers by key."""
        return {
            events.Started: self.handle_started,
            sync.SyncRequest: self.handle_request,
            sync.DocumentQuery: self.handle_query,
            TIMER: self.handle_timer,
        }

    def handle_started(self, event: events.Started) -> list[effects.Effect]:
        """Records the time of the start."""
        self.started_s = event.now_s
        return []

    def handle_request(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Subscribes the sender, and sends it what it lacks."""
        request = event.message
        assert isinstance(request, sync.SyncRequest)
        held = self.subscribers.get(event.sender.host)
        requested_s = float("-inf") if held is None else held.requested_s
        if request.is_first and event.now_s - requested_s < MIN_REPEAT_S:
            return []
        is_same_run = request.run == self.run
        subscriber = Subscriber(
            event.sender,
            request.position if is_same_run else 0,
            request.number,
            request.is_control,
            event.now_s,
            held.controls if held is not None and is_same_run else (),
            revision=request.revision,
            allotment=request.allotment,
            round=request.round,
        )
        self.subscribers[event.sender.host] = subscriber
        result = [self._update(event.now_s, subscriber)]
        if not is_same_run:
            result.append(
                self.context.record(
                    event.now_s,
                    "follower-joined",
                    version=request.number,
                    detail=event.sender.host,
                )
            )
        return result

    def handle_query(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Sends the document that the sender lacks, without subscribing it."""
        query = event.message
        assert isinstance(query, sync.DocumentQuery)
        answer = sync.DocumentAnswer(
            self.is_confirmed,
            self.routes.changes_since(query.number),
            self._evacuations_since(event.now_s, query.revision),
        )
        return [effects.SendMessage(event.sender, answer)]

    def publish_documents(
        self, now_s: float, machine: machines.DocumentStateMachine
    ) -> list[effects.Effect]:
        """Pushes the documents that have come into force.

        Args:
            now_s: Monotonic time in seconds.
            machine: The replicated state.
        """
        machine.flush_to(self.routes)
        services = self.routes.document.services
        self.registry.set_services(
            now_s,
            [service.name for service in services],
            [service.name for service in services if service.states_warm_up],
        )
        record = self.context.record(
            now_s, "version-in-force", version=self.routes.document.number
        )
        return [record, *self.push(now_s)]

    def publish_evacuations(
        self, now_s: float, state: evacuations_lib.Evacuations
    ) -> list[effects.Effect]:
        """Pushes the evacuations that have come into force.

        Args:
            now_s: Monotonic time in seconds.
            state: The evacuated failure domains.
        """
        is_newer = state.revision > self.evacuations.revision
        self.evacuations = state
        self.ended_s = {
            (end.domain, end.revision): self.ended_s.get(
                (end.domain, end.revision), now_s
            )
            for end in state.ended
        }
        if not is_newer:
            return []
        record = change_entries.record_evacuations(self.context, now_s, state)
        return [record, *self.push(now_s)]

    def _evacuations_since(
        self, now_s: float, revision: int
    ) -> evacuations_lib.Evacuations | None:
        """Returns the evacuations if they are newer than a revision."""
        if self.evacuations.revision <= revision:
            return None
        ended = tuple(
            msgspec.structs.replace(
                end,
                age_ms=int(
                    (now_s - self.ended_s[end.domain, end.revision]) * MS_PER_S
                ),
            )
            for end in self.evacuations.ended
        )
        return msgspec.structs.replace(self.evacuations, ended=ended)

    def publish_allotments(
        self, now_s: float, allotments: Sequence[allotment_lib.Allotment]
    ) -> list[effects.Effect]:
        """Pushes the allotments that have come into force.

        Args:
            now_s: Monotonic time in seconds.
            allotments: The new ones.
        """
        self.context.counters["cold-targets-allotted"] += len(allotments)
        records = change_entries.record_allotments(
            self.context, now_s, self.allotments.number, allotments
        )
        return [*records, *self.push(now_s)]

    def _allotments_since(
        self, subscriber: Subscriber
    ) -> sync.AllotmentUpdate | None:
        """Returns the allotments that name a subscriber, if any is new."""
        if subscriber.allotment >= self.allotments.number:
            return None
        host = subscriber.peer.host
        targets = [
            sync.AllottedTarget(
                target=allotment.key.target,
                place_ms=allotment.key.place_ms,
                revision=allotment.key.revision,
                position=allotment.hosts.index(host),
                hosts=len(allotment.hosts),
            )
            for allotment in self.allotments.since(subscriber.allotment)
            if host in allotment.hosts
        ]
        return sync.AllotmentUpdate(
            subscriber.allotment, self.allotments.number, tuple(targets)
        )

    def set_controls(
        self, now_s: float, controls: tuple[peers.Peer, ...]
    ) -> list[effects.Effect]:
        """Sets the live control hosts, and pushes them if they changed."""
        if controls == self.controls:
            return []
        self.controls = controls
        return self.push(now_s)

    def set_confirmed(self, now_s: float, doubt: str) -> list[effects.Effect]:
        """Sets whether this host is in contact with a quorum.

        A change is pushed, so that entry hosts follow another control host
        while this one may not learn of a new document or of a target that
        leaves.

        Args:
            now_s: Monotonic time in seconds.
            doubt: Constant name of the reason why it may not; empty if it is
                in contact.
        """
        is_confirmed = not doubt
        if is_confirmed == self.is_confirmed:
            return []
        self.is_confirmed = is_confirmed
        name = "quorum-regained" if is_confirmed else "quorum-lost"
        record = self.context.record(
            now_s, name, version=self.routes.document.number, reason=doubt
        )
        return [record, *self.push(now_s)]

    def push(self, now_s: float) -> list[effects.Effect]:
        """Sends subscribers what they lack, now or when the timer fires.

        Args:
            now_s: Monotonic time in seconds.
        """
        if self.is_push_due:
            return []
        wait_s = self.pushed_s + PUSH_INTERVAL_S - now_s
        if wait_s > 0.0:
            self.is_push_due = True
            return [effects.StartTimer(TIMER, wait_s)]
        return self._push(now_s)

    def handle_timer(self, event: events.TimerFired) -> list[effects.Effect]:
        """Pushes what has changed since the last push."""
        self.is_push_due = False
        return self._push(event.now_s)

    def _push(self, now_s: float) -> list[effects.Effect]:
        """Removes expired subscribers, and sends the others what they lack."""
        self.pushed_s = now_s
        for name, subscriber in list(self.subscribers.items()):
            if now_s - subscriber.requested_s > SUBSCRIPTION_S:
                del self.subscribers[name]
        return [
            self._update(now_s, subscriber)
            for subscriber in self.subscribers.values()
            if self._is_behind(subscriber)
        ]

    def entry_subscribers(self, now_s: float) -> list[peers.Peer]:
        """Returns the subscribed entry hosts."""
        return [
            subscriber.peer
            for subscriber in self.subscribers.values()
            if not subscriber.is_control
            and now_s - subscriber.requested_s <= SUBSCRIPTION_S
        ]

    def _is_behind(self, subscriber: Subscriber) -> bool:
        """Returns whether a subscriber lacks a change."""
        if subscriber.position < self.registry.position:
            return True
        if subscriber.is_control:
            return False
        return (
            subscriber.number < self.routes.document.number
            or subscriber.revision < self.evacuations.revision
            or subscriber.allotment < self.allotments.number
            or subscriber.controls != self.controls
            or subscriber.is_confirmed != self.is_confirmed
        )

    def _update(self, now_s: float, subscriber: Subscriber) -> effects.Effect:
        """Returns the message with all changes that a subscriber lacks."""
        base = subscriber.position
        document = evacuations = allotments = None
        if not subscriber.is_control:
            document = self.routes.changes_since(subscriber.number)
            evacuations = self._evacuations_since(now_s, subscriber.revision)
            allotments = self._allotments_since(subscriber)
        knows_controls = (
            subscriber.is_control or subscriber.controls == self.controls
        )
        subscriber.position = self.registry.position
        subscriber.number = max(subscriber.number, self.routes.document.number)
        subscriber.controls = self.controls
        subscriber.is_confirmed = self.is_confirmed
        subscriber.revision = max(
            subscriber.revision, self.evacuations.revision
        )
        subscriber.allotment = max(subscriber.allotment, self.allotments.number)
        targets = self.registry.changes_since(now_s, base)
        update = sync.SyncUpdate(
            run=self.run,
            base=base,
            position=self.registry.position,
            is_settled=self._is_settled(now_s),
            targets=targets,
            controls=() if knows_controls else self.controls,
            document=document,
            is_confirmed=self.is_confirmed,
            entry_hosts=self.entry_hosts.estimate(now_s),
            evacuations=evacuations,
            allotments=allotments,
            round=subscriber.round,
            tag_uses=self.registry.tag_uses(known.target for known in targets),
        )
        return effects.SendMessage(subscriber.peer, update)

    def _is_settled(self, now_s: float) -> bool:
        """Returns whether all live targets had time to announce themselves."""
        settle_s = SETTLE_INTERVALS * self.registry.interval_s
        return now_s - self.started_s > settle_s
