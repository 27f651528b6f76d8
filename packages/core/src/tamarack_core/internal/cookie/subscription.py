"""Keeps the copy of targets and routes at an entry host up to date.

The host follows one control host, of its own failure domain if one answers,
so that each change crosses between domains once. A follower that hears
nothing asks the others; one that has just started asks all that it knows in
turn, since each may answer with a whole document.
"""

from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import events
from tamarack_core import peers
from tamarack_core import reducer
from tamarack_core import sync
from tamarack_core.internal.cookie import routes as routes_lib
from tamarack_core.internal.cookie import target_table

TIMER = "mirror"

ASK_INTERVAL_S = 1.0
"""Time between questions to the followed control host, in seconds; a change
that was lost on its way is made good by the next question."""

ANSWER_S = 0.25
"""Time after which an unanswered question goes to another control host."""

FIRST_INTERVAL_S = 0.1
"""Time between questions while nothing is known, in seconds."""

GAP_S = 0.8
"""Time without a turn of the loop after which this host has been away."""

HOME_INTERVAL_S = 3.0
"""Time after which a host that follows another domain asks its own again."""

_TURNS = 1 << 16


class ControlSubscription:
    """Part that follows a control host.

    Attributes:
        context: Identity, chance, time and counters.
        routes: Routes in force.
        targets: Known targets.
        seeds: Control hosts that the settings name.
        controls: Control hosts that a control host named.
        followed: The control host that is followed, if any.
        run: Run of the followed host.
        position: Last change of that run that is held.
        is_settled: Whether a settled control host has told all its targets.
        asked_s: Time of the last question, in seconds.
        answered_s: Time of the last update, in seconds.
        woke_s: Time of the last turn of the timer.
        home_s: Time of the last question to the own domain while another one
            is followed.
        turn: Counts the questions of a host that holds no document.
    """

    __slots__ = (
        "answered_s",
        "asked_s",
        "context",
        "controls",
        "followed",
        "home_s",
        "is_settled",
        "position",
        "routes",
        "run",
        "seeds",
        "targets",
        "turn",
        "woke_s",
    )

    def __init__(
        self,
        context: context_lib.Context,
        routes: routes_lib.RouteTable,
        targets: target_table.TargetTable,
        seeds: tuple[peers.Peer, ...],
    ) -> None:
        """Creates the part.

        Args:
            context: Identity, chance, time and counters.
            routes: Routes in force.
            targets: Known targets.
            seeds: Control hosts that the settings name.
        """
        self.context = context
        self.routes = routes
        self.targets = targets
        self.seeds = seeds
        self.controls: tuple[peers.Peer, ...] = ()
        self.followed: peers.Peer | None = None
        self.run = ""
        self.position = 0
        self.is_settled = False
        self.asked_s = float("-inf")
        self.answered_s = float("-inf")
        self.woke_s = float("inf")
        self.home_s = float("-inf")
        self.turn = context.random.randrange(_TURNS)

    @property
    def is_synced(self) -> bool:
        """Whether a document is held."""
        return self.routes.number > 0

    def handlers(self) -> dict[reducer.Key, reducer.Handler]:
        """Returns the handlers of this part."""
        return {
            events.Started: self.handle_timer,
            events.SeedsChanged: self.handle_seeds,
            TIMER: self.handle_timer,
            sync.SyncUpdate: self.handle_update,
        }

    def handle_seeds(self, event: events.SeedsChanged) -> list[effects.Effect]:
        """Takes other seeds; what was learned stays."""
        self.seeds = event.seeds
        return []

    def handle_timer(
        self, event: events.TimerFired | events.Started
    ) -> list[effects.Effect]:
        """Asks again where an answer or the next question is due."""
        now_s = event.now_s
        found: list[effects.Effect] = []
        if now_s - self.woke_s > GAP_S:
            found.append(self._note_gap(now_s))
        self.woke_s = now_s
        self.targets.forget(now_s)
        found += self._ask_next(now_s)
        found.append(effects.StartTimer(TIMER, FIRST_INTERVAL_S))
        return found

    def _note_gap(self, now_s: float) -> effects.Effect:
        """Takes note that this host was away, and asks at once."""
        self.asked_s = float("-inf")
        return self.context.record(
            now_s,
            "host-was-away",
            detail=f"{now_s - self.woke_s:.1f} s without a turn",
        )

    def _ask_next(self, now_s: float) -> list[effects.Effect]:
        """Returns the questions that are due."""
        if not self.is_synced:
            self.asked_s = now_s
            return self._ask_in_turn()
        is_silent = self.answered_s < self.asked_s
        if is_silent and now_s - self.asked_s >= ANSWER_S:
            return self._replace_followed(now_s)
        if now_s - self.asked_s >= ASK_INTERVAL_S and self.followed:
            self.asked_s = now_s
            return [self._ask(self.followed), *self._ask_home(now_s)]
        return []

    def _ask_in_turn(self) -> list[effects.Effect]:
        """Asks the next control host; the first is drawn by lot."""
        known = self._known()
        if not known:
            return []
        self.turn += 1
        return [self._ask(known[self.turn % len(known)])]

    def _replace_followed(self, now_s: float) -> list[effects.Effect]:
        """Asks another control host in place of a silent one."""
        self.asked_s = now_s
        known = self._known()
        others = [peer for peer in known if peer != self.followed] or known
        if not others:
            return []
        found: list[effects.Effect] = []
        if self.followed is not None:
            found.append(
                self.context.record(
                    now_s,
                    "control-host-silent",
                    detail=self.followed.host,
                    version=self.routes.number,
                )
            )
        self.followed = None
        asked = self.context.random.sample(others, min(2, len(others)))
        return [*found, *map(self._ask, asked)]

    def _ask_home(self, now_s: float) -> list[effects.Effect]:
        """Asks the control hosts of the own domain, if others are followed."""
        own = self.context.host.domain
        if self.followed is None or self.followed.domain == own:
            return []
        if now_s - self.home_s < HOME_INTERVAL_S:
            return []
        self.home_s = now_s
        return [self._ask(peer) for peer in self.controls if peer.domain == own]

    def _known(self) -> list[peers.Peer]:
        """Returns the control hosts to ask, without repetition."""
        by_endpoint = {peer.control: peer for peer in self.seeds}
        by_endpoint.update((peer.control, peer) for peer in self.controls)
        return list(by_endpoint.values())

    def _ask(self, peer: peers.Peer) -> effects.Effect:
        """Returns a question to a control host."""
        request = sync.SyncRequest(
            self.run,
            self.position,
            self.routes.number,
            is_first=not self.is_synced,
        )
        return effects.SendMessage(peer, request)

    def handle_update(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Takes an update of the followed host, or follows its sender."""
        update = event.message
        assert isinstance(update, sync.SyncUpdate)
        if not self._follows(event.now_s, event.sender, update):
            return self._take_document(event.now_s, update)
        self.answered_s = event.now_s
        if update.controls:
            self.controls = update.controls
        found = self._take_document(event.now_s, update)
        if not self.is_synced:
            # It has no document yet; another one may.
            found += self._ask_in_turn()
        held = self.position if update.run == self.run else 0
        if update.base > held:
            # A change was lost on its way.
            return [*found, self._ask(event.sender)]
        found += self._take_targets(event.now_s, update)
        return found

    def _follows(
        self, now_s: float, sender: peers.Peer, update: sync.SyncUpdate
    ) -> bool:
        """Returns whether updates of this sender are followed from now on."""
        own = self.context.host.domain
        if self.followed is not None and sender.host == self.followed.host:
            return True
        is_nearer = self.followed is not None and (
            sender.domain == own and self.followed.domain != own
        )
        if self.followed is None or is_nearer:
            self.followed = sender
            return True
        return False

    def _take_document(
        self, now_s: float, update: sync.SyncUpdate
    ) -> list[effects.Effect]:
        """Puts routes into force if they are newer."""
        if update.document is None or not self.routes.put(update.document):
            return []
        return [
            self.context.record(
                now_s, "version-in-force", version=self.routes.number
            )
        ]

    def _take_targets(
        self, now_s: float, update: sync.SyncUpdate
    ) -> list[effects.Effect]:
        """Takes the targets of an update that fits."""
        found = [
            self._record_target(now_s, entry)
            for known in update.targets
            if (entry := self.targets.put(now_s, known)) is not None
        ]
        is_whole = update.base == 0
        if is_whole and update.is_settled:
            names = {known.target.name for known in update.targets}
            found += [
                self._record_target(now_s, entry)
                for entry in self.targets.doubt(names)
            ]
        if update.run != self.run:
            self.run = update.run
            self.position = 0
        self.position = max(self.position, update.position)
        self.is_settled = self.is_settled or update.is_settled
        return found

    def _record_target(
        self, now_s: float, entry: target_table.Entry
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
