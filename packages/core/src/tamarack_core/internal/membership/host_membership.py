"""Component that runs the membership protocol of an entry host."""

from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import events
from tamarack_core import peers
from tamarack_core import reducer
from tamarack_core.internal.membership import swim_protocol
from tamarack_core.internal.membership import view
from tamarack_core.messages import membership

# A host that starts alone, or cut off from all its seeds, is ready after this
# time.
JOIN_TIMEOUT_S = 3.0

_EVENT_NAMES = {
    membership.State.ALIVE: "member-alive",
    membership.State.SUSPECT: "member-suspected",
    membership.State.LEAVING: "member-leaving",
    membership.State.DEAD: "member-dead",
    membership.State.LEFT: "member-left",
}


class HostMembership:
    """Membership of this host in its failure domain.

    Attributes:
        context: Identity, random generator, clocks and counters of the host.
        swim: Membership protocol of this host.
        started_s: Monotonic time of the start in seconds.
        is_stopping: Whether a graceful stop has begun.
    """

    __slots__ = ("context", "is_stopping", "started_s", "swim")

    def __init__(
        self, context: context_lib.Context, seeds: tuple[peers.Peer, ...]
    ) -> None:
        """Initializes the membership of this host.

        Args:
            context: Identity, random generator, clocks and counters of the
                host.
            seeds: Peers from the settings.
        """
        self.context = context
        self.swim = swim_protocol.SwimProtocol(
            context.host, seeds, context.random
        )
        self.started_s = 0.0
        self.is_stopping = False

    def handlers(self) -> dict[reducer.Key, reducer.Handler]:
        """Returns the event handlers by key."""
        result: dict[reducer.Key, reducer.Handler] = {
            events.Started: self.handle_started,
            events.StopRequested: self.handle_stop,
            swim_protocol.PROBE_TIMER: self.handle_timer,
            swim_protocol.INDIRECT_TIMER: self.handle_timer,
            swim_protocol.STOP_TIMER: self.handle_stop_timer,
        }
        for message_type in (
            membership.Probe,
            membership.ProbeRequest,
            membership.Ack,
            membership.MembersFetch,
            membership.MembersPage,
        ):
            result[message_type] = self.handle_message
        return result

    def view(self) -> view.MembershipView:
        """Returns the view of the members at this host."""
        return self.swim.view

    def other_members(self) -> tuple[peers.Peer, ...]:
        """Returns the other members that are alive, suspect or leaving."""
        return tuple(
            member.peer
            for member in self.swim.view.present(self.context.host.host)
        )

    def joined_names(self) -> tuple[str, ...]:
        """Returns the names of the other members; none before the join."""
        if self.swim.is_joining:
            return ()
        return tuple(peer.host for peer in self.other_members())

    def is_ready(self, now_s: float) -> bool:
        """Returns whether this host may decide about flows.

        A host that does not know the other members yet would consider itself
        the owner of every flow.

        Args:
            now_s: Monotonic time in seconds.
        """
        return (
            not self.swim.is_joining or now_s >= self.started_s + JOIN_TIMEOUT_S
        )

    def handle_started(self, event: events.Started) -> list[effects.Effect]:
        """Joins the other members."""
        self.started_s = event.now_s
        return self.swim.start(event.now_s, event.wall_ms)

    def handle_message(
        self, event: events.MessageArrived
    ) -> list[effects.Effect]:
        """Passes a message to the protocol and records state changes."""
        message = event.message
        assert isinstance(message, membership.Message)
        before = self._states()
        sent = self.swim.handle_message(event.now_s, event.sender, message)
        return sent + self._record_changes(event.now_s, before)

    def handle_timer(self, event: events.TimerFired) -> list[effects.Effect]:
        """Passes a timer to the protocol and records state changes."""
        before = self._states()
        sent = self.swim.handle_timer(event.now_s, event.timer)
        return sent + self._record_changes(event.now_s, before)

    def handle_stop(self, event: events.StopRequested) -> list[effects.Effect]:
        """Begins a graceful leave; stops at once without other members."""
        if self.is_stopping:
            return []
        self.is_stopping = True
        record = self.context.record(event.now_s, "host-leaving")
        if not self.other_members():
            return [record, *self._finish(event.now_s)]
        return [record, *self.swim.leave(event.now_s)]

    def handle_stop_timer(
        self, event: events.TimerFired
    ) -> list[effects.Effect]:
        """Ends the process after the handover."""
        return [
            *self.swim.stop(event.now_s),
            *self._finish(event.now_s),
        ]

    def _finish(self, now_s: float) -> list[effects.Effect]:
        """Returns the effects that end the process."""
        return [
            self.context.record(now_s, "host-stopped"),
            effects.Stop(0, "stop requested"),
        ]

    def _states(self) -> dict[str, membership.State]:
        """Returns the state of each member by host name."""
        return {
            host: member.state
            for host, member in self.swim.view.members.items()
        }

    def _record_changes(
        self, now_s: float, before: dict[str, membership.State]
    ) -> list[effects.Effect]:
        """Returns the time line records of members that changed state."""
        return [
            self.context.record(
                now_s, _EVENT_NAMES[member.state], detail=f"member {host}"
            )
            for host, member in self.swim.view.members.items()
            if before.get(host) is not member.state
        ]
