"""State of flows, and of the targets that they go to, at one entry host."""

import msgspec

from tamarack_core import flow_packets
from tamarack_core.internal.cookie import target_liveness
from tamarack_core.internal.cookie import target_table

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
