"""Keeps the targets and routes of an entry host up to date.

The host subscribes to one control host, in the local failure domain if one
responds, so that each change crosses between domains once. If the publisher
does not respond, the host sends requests to others. A host that has just
started sends requests to all known control hosts, one at a time, since each
may respond with a whole document.

A control host that is cut off from the others learns of no new document. While
the publisher says so, the host queries others for newer documents, and follows
the first that is in contact with a quorum. If there is none, it goes on with
what it holds.
"""

import collections

from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import evacuations
from tamarack_core import events
from tamarack_core import peers
from tamarack_core import reducer
from tamarack_core import sync
from tamarack_core import target_announcement
from tamarack_core.internal import change_entries
from tamarack_core.internal import suspension
from tamarack_core.internal.cold_targets import held_allotments
from tamarack_core.internal.cookie import routes as routes_lib
from tamarack_core.internal.cookie import target_table
from tamarack_core.internal.load import load_view

TIMER = "mirror"

REQUEST_INTERVAL_S = 1.0
"""Interval of requests to the publisher, in seconds. The response to the next
request repairs the loss of a pushed change."""

RESPONSE_TIMEOUT_S = 0.25
"""Time after which a request without a response is sent to another control
host, in seconds."""

TICK_S = 0.1
"""Interval of the timer, in seconds."""

START_TICK_S = 0.05
"""Interval of the timer before the first document, in seconds. Each run sends
a request, as control hosts that start together become ready one by one."""

LOCAL_INTERVAL_S = 3.0
"""Interval of requests to local control hosts while the publisher is in another
failure domain, in seconds."""

QUERIES = 2
"""Control hosts queried at once while the publisher is not confirmed. One of
them may be cut off as well."""

_ROTATION_RANGE = 1 << 16


class ControlSubscription:
    """Component that subscribes to the changes of a control host.

    Attributes:
        context: Identity, random generator, clocks and counters of the host.
        routes: Routes in force.
        targets: Known targets.
        seeds: Control hosts named by the settings.
        controls: Control hosts named by the publisher.
        entry_hosts: Number of entry hosts, as far as the publisher knows; 0
            if it doesn't.
        load: Load of services and weights of targets.
        publisher: The control host that this host subscribes to, if any.
        run: Run of the publisher.
        position: Last change of that run that is held.
        is_settled: Whether a settled control host has sent all its targets.
        is_confirmed: Whether the publisher is in contact with a quorum of the
            control hosts, as far as it has said.
        requested_s: Time of the last request, in seconds.
        updated_s: Time of the last update, in seconds.
        ticked_s: Time of the last run of the timer, in seconds.
        local_requested_s: Time of the last request to the local domain while
            the publisher is in another one, in seconds.
        rotation: Number that selects the control host for the next request
            before the first document.
    """

    __slots__ = (
        "context",
        "controls",
        "entry_hosts",
        "is_confirmed",
        "is_settled",
        "load",
        "local_requested_s",
        "position",
        "publisher",
        "requested_s",
        "rotation",
        "routes",
        "run",
        "seeds",
        "targets",
        "ticked_s",
        "updated_s",
    )

    def __init__(
        self,
        context: context_lib.Context,
        routes: routes_lib.RouteTable,
        targets: target_table.TargetTable,
        seeds: tuple[peers.Peer, ...],
    ) -> None:
        """Initializes the subscription.

        Args:
            context: Identity, random generator, clocks and counters of the
                host.
            routes: Routes in force.
            targets: Known targets.
            seeds: Control hosts named by the settings.
        """
        self.context = context
        self.routes = routes
        self.targets = targets
        self.seeds = seeds
        self.controls: tuple[peers.Peer, ...] = ()
        self.entry_hosts = 0
        self.load = load_view.LoadView()
        self.publisher: peers.Peer | None = None
        self.run = ""
        self.position = 0
        self.is_settled = False
        self.is_confirmed = True
        self.requested_s = float("-inf")
        self.updated_s = float("-inf")
        self.ticked_s = float("inf")
        self.local_requested_s = float("-inf")
        self.rotation = context.random.randrange(_ROTATION_RANGE)

    @property
    def has_document(self) -> bool:
        """Whether a document is held."""
        return self.routes.number > 0

    def opening_rates(self, now_s: float) -> dict[str, float]:
        """Returns openings a second over all entry hosts by service.

        The result is empty if they are unknown or too old.
        """
        return self.load.opening_rates(now_s)

    def own_opening_rates(self) -> dict[str, float]:
        """Returns openings a second at this host by service.

        They are updated with each report, once a second.
        """
        return self.load.own_rates

    def follows_quorum(self, now_s: float) -> bool:
        """Returns whether the publisher responds and has a quorum.

        Otherwise it may not hear of the announcements of live targets.
        """
        is_responding = now_s - self.updated_s <= 2 * REQUEST_INTERVAL_S
        return is_responding and self.is_confirmed

    def handlers(self) -> dict[reducer.Key, reducer.Handler]:
        """Returns the event handlers by key."""
        return {
            events.Started: self.handle_timer,
            events.SeedsChanged: self.handle_seeds,
            TIMER: self.handle_timer,
            sync.SyncUpdate: self.handle_update,
            sync.DocumentAnswer: self.handle_answer,
        }

    def handle_seeds(self, event: events.SeedsChanged) -> list[effects.Effect]:
        """Replaces the seeds; control hosts learned from others are kept."""
        self.seeds = event.seeds
        return []

    def handle_timer(
        self, event: events.TimerFired | events.Started
    ) -> list[effects.Effect]:
        """Sends the requests that are due, and removes targets long gone."""
        now_s = event.now_s
        result: list[effects.Effect] = []
        if now_s - self.ticked_s > suspension.SUSPENSION_S:
            result.append(self._handle_suspension(now_s))
        self.ticked_s = now_s
        self.targets.expire_gone(now_s)
        result += self._due_requests(now_s)
        interval_s = TICK_S if self.has_document else START_TICK_S
        result.append(effects.StartTimer(TIMER, interval_s))
        return result

    def _handle_suspension(self, now_s: float) -> effects.Effect:
        """Records a suspension, and makes the next request due at once."""
        self.requested_s = float("-inf")
        return self.context.record(
            now_s,
            "host-was-away",
            detail=f"event loop did not run for {now_s - self.ticked_s:.1f} s",
        )

    def _due_requests(self, now_s: float) -> list[effects.Effect]:
        """Returns the requests that are due."""
        if not self.has_document:
            self.requested_s = now_s
            return self._request_next()
        is_unanswered = (
            self.publisher is None or self.updated_s < self.requested_s
        )
        if is_unanswered and now_s - self.requested_s >= RESPONSE_TIMEOUT_S:
            return self._replace_publisher(now_s)
        if now_s - self.requested_s >= REQUEST_INTERVAL_S and self.publisher:
            self.requested_s = now_s
            return [
                self._request(self.publisher),
                *self._request_local(now_s),
                *self._query_others(),
            ]
        return []

    def _query_others(self) -> list[effects.Effect]:
        """Queries other control hosts while the publisher isn't confirmed."""
        if self.is_confirmed:
            return []
        others = [
            peer
            for peer in self._control_hosts()
            if self.publisher is None or peer.control != self.publisher.control
        ]
        chosen = self.context.random.sample(others, min(QUERIES, len(others)))
        query = sync.DocumentQuery(
            self.routes.number, self.targets.evacuations.revision
        )
        return [effects.SendMessage(peer, query) for peer in chosen]

    def handle_answer(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Applies a document, and follows a sender that is confirmed."""
        answer = event.message
        assert isinstance(answer, sync.DocumentAnswer)
        result: list[effects.Effect] = []
        result += self._apply_document(event.now_s, answer.document)
        result += self._apply_evacuations(event.now_s, answer.evacuations)
        if answer.is_confirmed and not self.is_confirmed:
            self.publisher = event.sender
            self.is_confirmed = True
            self.requested_s = event.now_s
            result += [
                self.context.record(
                    event.now_s,
                    "control-host-replaced",
                    reason="no-quorum",
                    detail=event.sender.host,
                    version=self.routes.number,
                ),
                self._request(event.sender),
            ]
        return result

    def _request_next(self) -> list[effects.Effect]:
        """Requests updates from the next control host; the first is random."""
        known = self._control_hosts()
        if not known:
            return []
        self.rotation += 1
        return [self._request(known[self.rotation % len(known)])]

    def _replace_publisher(self, now_s: float) -> list[effects.Effect]:
        """Sends requests to others in place of an unresponsive publisher."""
        self.requested_s = now_s
        known = self._control_hosts()
        others = [peer for peer in known if peer != self.publisher] or known
        if not others:
            return []
        result: list[effects.Effect] = []
        if self.publisher is not None:
            result.append(
                self.context.record(
                    now_s,
                    "control-host-silent",
                    detail=self.publisher.host,
                    version=self.routes.number,
                )
            )
        self.publisher = None
        chosen = self.context.random.sample(others, min(2, len(others)))
        return [*result, *map(self._request, chosen)]

    def _request_local(self, now_s: float) -> list[effects.Effect]:
        """Sends requests to local control hosts if the publisher is not one."""
        local_domain = self.context.host.domain
        if self.publisher is None or self.publisher.domain == local_domain:
            return []
        if now_s - self.local_requested_s < LOCAL_INTERVAL_S:
            return []
        self.local_requested_s = now_s
        return [
            self._request(peer)
            for peer in self.controls
            if peer.domain == local_domain
        ]

    def _control_hosts(self) -> list[peers.Peer]:
        """Returns the known control hosts without duplicates."""
        by_endpoint = {peer.control: peer for peer in self.seeds}
        by_endpoint.update((peer.control, peer) for peer in self.controls)
        return list(by_endpoint.values())

    def _request(self, peer: peers.Peer) -> effects.Effect:
        """Returns the effect that requests updates from a control host."""
        request = sync.SyncRequest(
            self.run,
            self.position,
            self.routes.number,
            is_first=not self.has_document,
            revision=self.targets.evacuations.revision,
            allotment=self.targets.allotments.number,
        )
        return effects.SendMessage(peer, request)

    def handle_update(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Applies an update.

        Updates of hosts other than the publisher only contribute a newer
        document and newer evacuations, unless their sender becomes the
        publisher.
        """
        update = event.message
        assert isinstance(update, sync.SyncUpdate)
        applied = [
            *self._apply_evacuations(event.now_s, update.evacuations),
            *self._apply_allotments(event.now_s, update.allotments),
            *self._apply_document(event.now_s, update.document),
        ]
        if not self._accepts_publisher(event.now_s, event.sender, update):
            return applied
        self.updated_s = event.now_s
        if update.controls:
            self.controls = update.controls
        self.entry_hosts = update.entry_hosts
        was_confirmed, self.is_confirmed = (
            self.is_confirmed,
            update.is_confirmed,
        )
        result = list(applied)
        if was_confirmed and self.has_document:
            result += self._query_others()
        if not self.has_document:
            # The publisher has no document yet; another control host may.
            result += self._request_next()
        held = self.position if update.run == self.run else 0
        if update.base > held:
            # A pushed change was lost.
            return [*result, self._request(event.sender)]
        result += self._apply_targets(event.now_s, update)
        return result

    def _accepts_publisher(
        self, now_s: float, sender: peers.Peer, update: sync.SyncUpdate
    ) -> bool:
        """Returns whether the sender is the publisher, or becomes it."""
        local_domain = self.context.host.domain
        if self.publisher is not None and sender.host == self.publisher.host:
            return True
        is_closer = self.publisher is not None and (
            sender.domain == local_domain
            and self.publisher.domain != local_domain
        )
        is_better = update.is_confirmed and (is_closer or not self.is_confirmed)
        if self.publisher is None or is_better:
            self.publisher = sender
            return True
        return False

    def _apply_document(
        self, now_s: float, document: sync.DocumentUpdate | None
    ) -> list[effects.Effect]:
        """Applies routes and warm-ups if they are newer."""
        if document is None or not self.routes.put(now_s, document):
            return []
        self.targets.set_warm_ups(
            {
                name: item.warm_up_s
                for name, item in self.routes.warm_ups.items()
            }
        )
        result = [self._record_document(now_s)]
        for name in self.routes.invalid_warm_ups:
            self.context.counters["warm-ups-skipped"] += 1
            result.append(
                self.context.record(
                    now_s,
                    "warm-up-skipped",
                    service=name[: target_announcement.MAX_NAME_CHARACTERS],
                    reason="bad-warm-up",
                    version=self.routes.number,
                )
            )
        return result

    def _apply_allotments(
        self, now_s: float, update: sync.AllotmentUpdate | None
    ) -> list[effects.Effect]:
        """Applies allotments if they are valid and newer."""
        if update is None:
            return []
        invalid = held_allotments.check(update)
        if invalid is not None:
            self.context.counters["allotments-skipped"] += 1
            return [
                self.context.record(
                    now_s,
                    "allotments-skipped",
                    reason=invalid.reason,
                    detail=invalid.detail,
                )
            ]
        added = self.targets.allotments.put(now_s, update)
        if not added:
            return []
        self.context.counters["cold-targets-allotted"] += added
        return [
            self.context.record(
                now_s,
                "cold-targets-allotted",
                version=update.number,
                detail=f"{added} cold targets to this host, after allotment"
                f" {update.base}",
            )
        ]

    def _apply_evacuations(
        self, now_s: float, state: evacuations.Evacuations | None
    ) -> list[effects.Effect]:
        """Applies evacuations if they are valid and newer."""
        if state is None:
            return []
        invalid = evacuations.check(state)
        if invalid is not None:
            self.context.counters["evacuations-skipped"] += 1
            return [
                self.context.record(
                    now_s,
                    "evacuations-skipped",
                    reason=invalid.reason,
                    detail=invalid.detail,
                )
            ]
        if not self.targets.set_evacuations(now_s, state):
            return []
        return [change_entries.record_evacuations(self.context, now_s, state)]

    def _record_document(self, now_s: float) -> effects.Effect:
        """Returns the time line entry of a newer document."""
        return self.context.record(
            now_s, "version-in-force", version=self.routes.number
        )

    def _apply_targets(
        self, now_s: float, update: sync.SyncUpdate
    ) -> list[effects.Effect]:
        """Applies the targets of an update whose base is held."""
        changed = []
        skipped = []
        for known in update.targets:
            invalid = target_announcement.check(known.target)
            if invalid is not None:
                name = known.target.name
                skipped.append(change_entries.Skipped(name, invalid))
            elif (
                entry := self.targets.put(
                    now_s,
                    known,
                    update.tag_uses.get(
                        known.target.name, target_announcement.TagUse.PLAIN
                    ),
                )
            ) is not None:
                changed.append(entry)
        is_whole = update.base == 0
        if is_whole and update.is_settled:
            names = {known.target.name for known in update.targets}
            changed += self.targets.mark_missing_overdue(now_s, names)
        result = [
            *change_entries.record_skipped(self.context, now_s, skipped),
            *self._record_targets(now_s, changed),
        ]
        if update.run != self.run:
            self.run = update.run
            self.position = 0
        self.position = max(self.position, update.position)
        self.is_settled = self.is_settled or update.is_settled
        return result

    def _record_targets(
        self, now_s: float, changed: list[target_table.TargetEntry]
    ) -> list[effects.Effect]:
        """Returns the time line entries of the targets of one update."""
        if len(changed) <= change_entries.MAX_ENTRIES:
            return [self._record_target(now_s, entry) for entry in changed]
        phases = collections.Counter(
            "overdue" if entry.is_overdue else entry.target.phase.name.lower()
            for entry in changed
        )
        return [change_entries.summarize(self.context, now_s, phases)]

    def _record_target(
        self, now_s: float, entry: target_table.TargetEntry
    ) -> effects.Effect:
        """Returns the time line entry of a target that changed."""
        target = entry.target
        state = target.phase.name.lower()
        if entry.is_overdue:
            state += " overdue"
        return self.context.record(
            now_s,
            "target-changed",
            service=target.service,
            target=target.name,
            detail=f"{state} tag {entry.tag:08x} born {target.born_ms}"
            f" sequence {target.sequence}",
        )
