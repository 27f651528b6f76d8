"""Tracks flows and targets by the packets that pass through an entry host.

Targets reply to callers directly, so only packets of callers are seen. A
repeated opening packet shows that the target did not reply to it; an
acknowledgement number that advances shows that it replied.
"""

import collections
from collections.abc import Container
from collections.abc import Iterable
import itertools

import msgspec

from tamarack_core import flow_packets
from tamarack_core.internal import suspension
from tamarack_core.internal.cookie import target_liveness
from tamarack_core.internal.cookie import target_table
from tamarack_core.internal.load import reply_statistics

MAX_FLOWS = 50_000
"""Maximum number of tracked flows; 16 MB at about 330 bytes each."""

OPENING_TIMEOUT_S = 1.6
"""Time after its last opening packet after which a flow that no target has
accepted is removed, in seconds. Callers give up after 1.4 s."""

REQUEST_TIMEOUT_S = 10.0
"""Time after which a request without a reply no longer counts as work of its
target, in seconds. Its caller has given up without closing the flow."""

MIN_MOVED_S = 0.5
"""Shortest time after which a request without a reply may count as moved to
another host, in seconds."""

MOVED_REPLY_TIMES = 4.0
"""Usual reply times of a target after which a request without a reply counts as
moved to another host, if the target has replied to others since. The fabric
moves nearly all flows when an entry host joins or leaves, and the reply is then
acknowledged through another host."""

REPLY_TIME_WEIGHT = 1 / 16
"""Weight of the newest reply in the usual reply time of a target."""

CLOSED_RETENTION_S = 3.0
"""Time for which a closed flow is remembered, in seconds. Acknowledgements that
its caller sends after the last packet don't count as a flow that was opened
through another host."""

REPORT_LIFETIME_S = 3.0
"""Time for which a target that another host found dead gets no openings, in
seconds. After it the announcements of a dead target are overdue."""

SEQUENCE_SPACE = 1 << 32

MAX_LATE_BYTES = 1 << 16
"""Distance in bytes by which a late copy of a payload is behind the end of its
flow. The sequence numbers of a new flow on the same port are hardly ever that
close to those of the closed one."""


class Flow(msgspec.Struct, eq=False):
    """State of a flow as observed by this host.

    The flows of a target are linked, because a set of flows at each target
    would take more memory: at most hosts a target has one or two.

    Attributes:
        key: Its addresses and ports.
        target: The target.
        first_packet_s: Time of its first packet at this host, in seconds.
        last_packet_s: Time of its last packet, in seconds.
        is_open: Whether a target has replied to the opening packet.
        tried: Targets that were sent the opening packet.
        acknowledged: Last acknowledgement number of the caller.
        sequence: Sequence number after the last payload of the caller.
        pending_since_s: Time since which a request has no reply, in seconds;
            None if no request is pending.
        is_closing: Whether the caller has sent its last packet.
        newer: Next flow of the same target, None if it is the newest.
        older: Previous flow of the same target, None if it is the oldest.
    """

    key: flow_packets.FlowKey
    target: target_table.TargetEntry
    first_packet_s: float
    last_packet_s: float
    is_open: bool = False
    tried: tuple[str, ...] = ()
    acknowledged: int = 0
    sequence: int = 0
    pending_since_s: float | None = None
    is_closing: bool = False
    newer: "Flow | None" = None
    older: "Flow | None" = None

    def was_seen_by(self, time_s: float | None) -> bool:
        """Returns whether its first packet came by a time; None for any."""
        return time_s is None or self.first_packet_s <= time_s


class ClosedFlow(msgspec.Struct):
    """A flow that its caller has closed.

    Attributes:
        closed_s: Time at which it was closed, in seconds.
        sequence: Sequence number after the last payload of the caller.
    """

    closed_s: float
    sequence: int

    def has_sent(self, packet: flow_packets.FlowPacket) -> bool:
        """Returns whether a packet has no payload that is new."""
        if not packet.payload_bytes:
            return True
        end = packet.sequence + packet.payload_bytes
        behind = (self.sequence - end) % SEQUENCE_SPACE
        return behind < MAX_LATE_BYTES


class TargetActivity(msgspec.Struct):
    """Flows of one target and evidence of its liveness.

    Attributes:
        domain: Its failure domain.
        liveness: Evidence from flows of the target.
        domain_liveness: Evidence from all flows of its failure domain.
        newest: The flow that was added last; None if it has no flows.
        flows: Flows that are open, or being opened, through this host.
        opening: Those of them that the target has not accepted yet.
        pending: Those of them whose last request has no reply.
        reply_s: Usual time from a request to its reply, in seconds.
        last_opening: Number of the last opening packet that it was sent.
        last_turn: That number among the openings of its service, minus the
            lateness. It is moved when the weight changes.
        lateness: Openings by which the next opening packet is late, if the
            choice is by weights.
        weight: Weight in percent for which `last_turn` holds; 0 before the
            first choice by weights.
        start_tag: Tag of its start at the last choice by weights.
        considered: Openings of its service at the last choice by weights in
            which it was a candidate.
        reported_s: Time of the last report that it is dead, in seconds.
    """

    domain: str
    liveness: target_liveness.TargetLiveness
    domain_liveness: target_liveness.TargetLiveness
    newest: Flow | None = None
    flows: int = 0
    opening: int = 0
    pending: int = 0
    reply_s: float = 0.0
    last_opening: int = 0
    last_turn: float = 0.0
    lateness: float = 0.0
    weight: int = 0
    start_tag: int = 0
    considered: int = 0
    reported_s: float = float("-inf")

    @property
    def work(self) -> int:
        """Requests in progress, including those about to be sent."""
        return self.opening + self.pending

    def add(self, flow: Flow) -> None:
        """Adds a flow to those of the target."""
        if self.newest is not None:
            flow.older = self.newest
            self.newest.newer = flow
        self.newest = flow
        self.flows += 1

    def remove(self, flow: Flow) -> None:
        """Removes one of the flows of the target."""
        if flow.newer is None:
            self.newest = flow.older
        else:
            flow.newer.older = flow.older
        if flow.older is not None:
            flow.older.newer = flow.newer
        flow.newer = flow.older = None
        self.flows -= 1

    def all_flows(self) -> list[Flow]:
        """Returns the flows of the target, the newest first."""
        found = []
        flow = self.newest
        while flow is not None:
            found.append(flow)
            flow = flow.older
        return found

    def observe_retransmission(
        self, now_s: float, key: flow_packets.FlowKey
    ) -> None:
        """Records that a caller repeated a packet of a flow."""
        self.liveness.observe_retransmission(now_s, key)
        self.domain_liveness.observe_retransmission(now_s, key)

    def observe_reply_time(self, reply_s: float) -> None:
        """Records the time from a request to its reply, in seconds."""
        weight = REPLY_TIME_WEIGHT if self.reply_s else 1.0
        self.reply_s += weight * (reply_s - self.reply_s)

    def has_moved(self, now_s: float, since_s: float) -> bool:
        """Returns whether the reply to a request went through another host.

        Args:
            now_s: Monotonic time in seconds.
            since_s: Time of the request, in seconds.
        """
        usual_s = max(MIN_MOVED_S, MOVED_REPLY_TIMES * self.reply_s)
        return now_s - since_s > usual_s and (
            self.liveness.last_reply_s > since_s
        )

    def observe_reply(self, now_s: float) -> None:
        """Records that the target replied."""
        self.liveness.observe_reply(now_s)
        self.domain_liveness.observe_reply(now_s)

    def has_replied(self, now_s: float, within_s: float) -> bool:
        """Returns whether the target replied within some seconds."""
        return now_s - self.liveness.last_reply_s <= within_s

    def is_avoided(self, now_s: float) -> bool:
        """Returns whether the target or its failure domain is avoided."""
        return (
            self.liveness.is_avoided(now_s)
            or self.domain_liveness.is_avoided(now_s)
            or self._is_reported(now_s)
        )

    def _is_reported(self, now_s: float) -> bool:
        """Returns whether it was reported dead and has not replied since."""
        return (
            now_s - self.reported_s < REPORT_LIFETIME_S
            and self.liveness.last_reply_s < self.reported_s
        )


class FlowTracker:
    """Tracks flows and targets by the packets of callers.

    Attributes:
        flows: Flows by key, the longest idle first.
        opening: Keys of the flows that no target has accepted, the one with
            the oldest opening packet first.
        pending: Keys of the flows whose last request has no reply, the oldest
            request first.
        openings: Opening packets sent to targets since the start.
        turns: Opening packets sent to targets of a service since the start, by
            service.
        closed: Flows that were closed lately, by key, the earliest first.
        targets: Activity by name of the target.
        domains: Liveness by failure domain.
        used: Names of targets with flows by failure domain.
        responsive: Names of targets that replied, the most recent one last.
        replies: Reply times of targets since the last report.
        last_event_s: Time of the last packet or timer, in seconds.
    """

    __slots__ = (
        "closed",
        "domains",
        "flows",
        "last_event_s",
        "opening",
        "openings",
        "pending",
        "replies",
        "responsive",
        "targets",
        "turns",
        "used",
    )

    def __init__(self) -> None:
        """Initializes an empty flow tracker."""
        self.flows: dict[flow_packets.FlowKey, Flow] = {}
        self.opening: dict[flow_packets.FlowKey, None] = {}
        self.pending: dict[flow_packets.FlowKey, None] = {}
        self.closed: dict[flow_packets.FlowKey, ClosedFlow] = {}
        self.targets: dict[str, TargetActivity] = {}
        self.domains: dict[str, target_liveness.TargetLiveness] = {}
        self.used: dict[str, dict[str, None]] = {}
        self.responsive: dict[str, None] = {}
        self.openings = 0
        self.turns: collections.Counter[str] = collections.Counter()
        self.replies = reply_statistics.ReplyStatistics()
        self.last_event_s = float("inf")

    def check_suspension(self, now_s: float) -> bool:
        """Records that the event loop runs.

        All targets count as having replied now if the host was suspended:
        retransmissions read after that prove nothing about targets.

        Returns:
            Whether it was suspended since the last call.
        """
        idle_s = now_s - self.last_event_s
        was_suspended = idle_s > suspension.SUSPENSION_S
        if was_suspended:
            for activity in self.targets.values():
                activity.observe_reply(now_s)
            self.replies.resumed_s = now_s
        self.last_event_s = now_s
        return was_suspended

    def activity_of(self, entry: target_table.TargetEntry) -> TargetActivity:
        """Returns the activity of a target; creates it if it is new."""
        activity = self.targets.get(entry.target.name)
        if activity is None:
            name = entry.target.domain
            domain = self.domains.get(name)
            if domain is None:
                domain = self.domains[name] = target_liveness.TargetLiveness(
                    target_liveness.DOMAIN
                )
            activity = TargetActivity(
                name,
                target_liveness.TargetLiveness(target_liveness.TARGET),
                domain,
            )
            self.targets[entry.target.name] = activity
        return activity

    def observe_opening(
        self,
        now_s: float,
        key: flow_packets.FlowKey,
        target: target_table.TargetEntry,
    ) -> None:
        """Records that the opening packet of a flow goes to a target."""
        held = self.flows.pop(key, None)
        tried: tuple[str, ...] = ()
        if held is not None:
            self._release(key, held)
            if not held.is_open:
                tried = held.tried
        self.closed.pop(key, None)
        activity = self.activity_of(target)
        self._add(
            Flow(key, target, now_s, now_s, tried=(*tried, target.target.name)),
            activity,
        )
        activity.opening += 1
        self.openings += 1
        activity.last_opening = self.openings
        service = target.target.service
        self.turns[service] += 1
        activity.last_turn = self.turns[service] - activity.lateness
        activity.lateness = 0.0
        self.opening[key] = None
        activity.liveness.observe_opening(now_s)
        activity.domain_liveness.observe_opening(now_s)
        if len(self.flows) > MAX_FLOWS:
            self.remove_flow(next(iter(self.flows)))

    def observe_repeated_opening(
        self, now_s: float, key: flow_packets.FlowKey
    ) -> tuple[str, ...]:
        """Records that a caller repeated an opening packet.

        Returns:
            The targets that did not reply to it.
        """
        held = self.flows.get(key)
        if held is None or held.is_open:
            return ()
        self.activity_of(held.target).observe_retransmission(now_s, key)
        return held.tried

    def observe_packet(
        self,
        now_s: float,
        target: target_table.TargetEntry,
        packet: flow_packets.FlowPacket,
    ) -> bool:
        """Records a packet of an open flow.

        Acknowledgements after the last packet of a flow are ignored, and so is
        a copy of its payload that arrives late: it would count as a request in
        progress until the timeout.

        Args:
            now_s: Monotonic time in seconds.
            target: The target that it goes to.
            packet: The packet.

        Returns:
            Whether the packet is a retransmission.
        """
        key = packet.flow
        closed = self.closed.get(key)
        if closed is not None and closed.has_sent(packet):
            return False
        flow = self.flows.pop(key, None)
        activity = self.activity_of(target)
        if flow is None or flow.target.target.name != target.target.name:
            # The first packet of a flow that was opened through another host
            # proves nothing about its target.
            if flow is not None:
                self._release(key, flow)
            self.closed.pop(key, None)
            flow = Flow(
                key,
                target,
                now_s,
                now_s,
                is_open=True,
                acknowledged=packet.acknowledged,
                sequence=packet.sequence,
            )
            self._add(flow, activity)
        else:
            self.flows[key] = flow
        flow.last_packet_s = now_s
        if not flow.is_open:
            self._accept(key, flow, activity)
            flow.sequence = packet.sequence
            self.observe_reply(now_s, target)
        elif packet.acknowledged != flow.acknowledged:
            self.observe_reply(now_s, target)
            if flow.pending_since_s is not None:
                activity.observe_reply_time(now_s - flow.pending_since_s)
                self.replies.observe(
                    now_s, key[2:4], target.start_tag, flow.pending_since_s
                )
                self._clear_pending(key, flow, activity)
        flow.acknowledged = packet.acknowledged
        is_retransmission = bool(
            packet.payload_bytes
        ) and self._observe_payload(now_s, flow, packet, activity)
        flow.is_closing = flow.is_closing or packet.is_last
        if flow.is_closing and flow.pending_since_s is None:
            self._close(now_s, flow)
        return is_retransmission

    def _close(self, now_s: float, flow: Flow) -> None:
        """Removes a flow that its caller has closed."""
        self.remove_flow(flow.key)
        self.closed.pop(flow.key, None)
        self.closed[flow.key] = ClosedFlow(now_s, flow.sequence)
        if len(self.closed) > MAX_FLOWS:
            del self.closed[next(iter(self.closed))]

    def observe_reply(
        self, now_s: float, target: target_table.TargetEntry
    ) -> None:
        """Records that a target, and so its failure domain, replied.

        The evidence is an open flow or a successful probe.
        """
        self.activity_of(target).observe_reply(now_s)
        name = target.target.name
        self.responsive.pop(name, None)
        self.responsive[name] = None

    def _observe_payload(
        self,
        now_s: float,
        flow: Flow,
        packet: flow_packets.FlowPacket,
        activity: TargetActivity,
    ) -> bool:
        """Records payload; returns whether it is a retransmission."""
        end = packet.sequence + packet.payload_bytes
        ahead = (end - flow.sequence) % SEQUENCE_SPACE
        if 0 < ahead < SEQUENCE_SPACE // 2:
            flow.sequence = end
            if flow.pending_since_s is None:
                flow.pending_since_s = now_s
                activity.pending += 1
                self.pending[packet.flow] = None
            return False
        activity.observe_retransmission(now_s, packet.flow)
        return True

    def _accept(
        self, key: flow_packets.FlowKey, flow: Flow, activity: TargetActivity
    ) -> None:
        """Marks a flow as accepted by its target, unless it is."""
        if not flow.is_open:
            flow.is_open = True
            activity.opening -= 1
            del self.opening[key]

    def _clear_pending(
        self, key: flow_packets.FlowKey, flow: Flow, activity: TargetActivity
    ) -> None:
        """Clears the pending request of a flow, if it has one."""
        if flow.pending_since_s is not None:
            flow.pending_since_s = None
            activity.pending -= 1
            del self.pending[key]

    def remove_flow(self, key: flow_packets.FlowKey) -> None:
        """Removes a flow, if it is known."""
        flow = self.flows.pop(key, None)
        if flow is not None:
            self._release(key, flow)

    def _add(self, flow: Flow, activity: TargetActivity) -> None:
        """Adds a flow as the one with the last packet."""
        self.flows[flow.key] = flow
        activity.add(flow)
        if activity.flows == 1:
            names = self.used.setdefault(activity.domain, {})
            names[flow.target.target.name] = None

    def _release(self, key: flow_packets.FlowKey, flow: Flow) -> None:
        """Removes a flow from those of its target."""
        activity = self.activity_of(flow.target)
        activity.remove(flow)
        if not activity.flows:
            del self.used[activity.domain][flow.target.target.name]
        if not flow.is_open:
            activity.opening -= 1
            del self.opening[key]
        self._clear_pending(key, flow, activity)

    def count_requests(self, service: str, since_s: float) -> int:
        """Returns the number of pending requests of a service.

        Args:
            service: The service.
            since_s: Time in seconds; older requests don't count.
        """
        count = 0
        for key in reversed(self.pending):
            flow = self.flows[key]
            assert flow.pending_since_s is not None
            if flow.pending_since_s < since_s:
                break
            count += flow.target.target.service == service
        return count

    def used_targets(self) -> set[str]:
        """Returns the names of the targets with flows through this host."""
        return {
            name for name, activity in self.targets.items() if activity.flows
        }

    def remove_targets(self, known: Container[str]) -> None:
        """Removes targets that are no longer known and have no flows.

        Args:
            known: Names of the known targets.
        """
        for name, activity in list(self.targets.items()):
            if name not in known and not activity.flows:
                del self.targets[name]
                self.responsive.pop(name, None)

    def expire(self, now_s: float, idle_s: float) -> None:
        """Removes flows that have ended without a last packet.

        These are flows without a packet for `idle_s` seconds, and flows that no
        target has accepted for `OPENING_TIMEOUT_S`. Requests without a reply
        for `REQUEST_TIMEOUT_S`, or whose reply went through another host, no
        longer count as work.
        """
        for key in self._older_than(self.flows, now_s - idle_s):
            self.remove_flow(key)
        for key in self._older_than(self.opening, now_s - OPENING_TIMEOUT_S):
            self.remove_flow(key)
        for key in list(self.pending):
            self._expire_request(now_s, key)
        forgettable = itertools.takewhile(
            lambda item: now_s - item[1].closed_s > CLOSED_RETENTION_S,
            self.closed.items(),
        )
        for key, _ in list(forgettable):
            del self.closed[key]

    def _expire_request(self, now_s: float, key: flow_packets.FlowKey) -> None:
        """Clears a pending request that has ended without a reply here."""
        flow = self.flows[key]
        activity = self.activity_of(flow.target)
        since_s = flow.pending_since_s
        assert since_s is not None
        if now_s - since_s > REQUEST_TIMEOUT_S or activity.has_moved(
            now_s, since_s
        ):
            self._clear_pending(key, flow, activity)
            if flow.is_closing:
                self._close(now_s, flow)

    def _older_than(
        self, keys: Iterable[flow_packets.FlowKey], before_s: float
    ) -> list[flow_packets.FlowKey]:
        """Returns the flows whose last packet came before a time.

        Args:
            keys: Flows in the order of their last packets.
            before_s: The time in seconds.
        """
        return list(
            itertools.takewhile(
                lambda key: self.flows[key].last_packet_s < before_s, keys
            )
        )
