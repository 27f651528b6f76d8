"""Tracks flows and targets by the packets that pass through an entry host.

Targets reply to callers directly, so only packets of callers are seen. A
repeated opening packet shows that the target did not reply to it; an
acknowledgement number that advances shows that it replied.
"""

import collections
from collections.abc import Container
from collections.abc import Iterable
import itertools

from tamarack_core import flow_packets
from tamarack_core.internal import suspension
from tamarack_core.internal.cookie import flow_state
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

CLOSED_RETENTION_S = 3.0
"""Time for which a closed flow is remembered, in seconds. Acknowledgements that
its caller sends after the last packet don't count as a flow that was opened
through another host."""


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
        self.flows: dict[flow_packets.FlowKey, flow_state.Flow] = {}
        self.opening: dict[flow_packets.FlowKey, None] = {}
        self.pending: dict[flow_packets.FlowKey, None] = {}
        self.closed: dict[flow_packets.FlowKey, flow_state.ClosedFlow] = {}
        self.targets: dict[str, flow_state.TargetActivity] = {}
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

    def activity_of(
        self, entry: target_table.TargetEntry
    ) -> flow_state.TargetActivity:
        """Returns the activity of a target; creates it if it is new."""
        activity = self.targets.get(entry.target.name)
        if activity is None:
            name = entry.target.domain
            domain = self.domains.get(name)
            if domain is None:
                domain = self.domains[name] = target_liveness.TargetLiveness(
                    target_liveness.DOMAIN
                )
            activity = flow_state.TargetActivity(
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
            flow_state.Flow(
                key, target, now_s, now_s, tried=(*tried, target.target.name)
            ),
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
            flow = flow_state.Flow(
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

    def _close(self, now_s: float, flow: flow_state.Flow) -> None:
        """Removes a flow that its caller has closed."""
        self.remove_flow(flow.key)
        self.closed.pop(flow.key, None)
        self.closed[flow.key] = flow_state.ClosedFlow(now_s, flow.sequence)
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
        flow: flow_state.Flow,
        packet: flow_packets.FlowPacket,
        activity: flow_state.TargetActivity,
    ) -> bool:
        """Records payload; returns whether it is a retransmission."""
        end = packet.sequence + packet.payload_bytes
        ahead = (end - flow.sequence) % flow_state.SEQUENCE_SPACE
        if 0 < ahead < flow_state.SEQUENCE_SPACE // 2:
            flow.sequence = end
            if flow.pending_since_s is None:
                flow.pending_since_s = now_s
                activity.pending += 1
                self.pending[packet.flow] = None
            return False
        activity.observe_retransmission(now_s, packet.flow)
        return True

    def _accept(
        self,
        key: flow_packets.FlowKey,
        flow: flow_state.Flow,
        activity: flow_state.TargetActivity,
    ) -> None:
        """Marks a flow as accepted by its target, unless it is."""
        if not flow.is_open:
            flow.is_open = True
            activity.opening -= 1
            del self.opening[key]

    def _clear_pending(
        self,
        key: flow_packets.FlowKey,
        flow: flow_state.Flow,
        activity: flow_state.TargetActivity,
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

    def _add(
        self, flow: flow_state.Flow, activity: flow_state.TargetActivity
    ) -> None:
        """Adds a flow as the one with the last packet."""
        self.flows[flow.key] = flow
        activity.add(flow)
        if activity.flows == 1:
            names = self.used.setdefault(activity.domain, {})
            names[flow.target.target.name] = None

    def _release(
        self, key: flow_packets.FlowKey, flow: flow_state.Flow
    ) -> None:
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
