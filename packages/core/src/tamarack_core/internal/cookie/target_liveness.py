"""Liveness of targets and failure domains, based on several flows each.

It keeps openings away from targets that crash without closing their flows and
from failure domains that are cut off, until probes have shown whether they are
dead. Single packets are lost and single requests take long. Replies bypass this
host: it only sees that a caller retransmits a packet, or that its
acknowledgement number advances.
"""

import msgspec

from tamarack_core import flow_packets

TRIAL_INTERVAL_S = 1.0
"""Shortest time between two new flows that are sent to a suspect target as a
trial, in seconds."""


EVIDENCE_LIFETIME_S = 2.0
"""Time after the last retransmission for which stalled flows are evidence, in
seconds. A caller that waits retransmits at least every 1.6 s."""


class Thresholds(msgspec.Struct, frozen=True):
    """Evidence that is needed to suspect a target.

    Attributes:
        suspect_flows: Stalled flows from which on new flows are avoided.
        suspect_s: Time without a reply that is needed as well, in seconds.
    """

    suspect_flows: int
    suspect_s: float


TARGET = Thresholds(suspect_flows=2, suspect_s=0.18)
"""Thresholds for one target. Callers retransmit after 0.2 s, and one packet in
a thousand is lost, so a single retransmission is weak evidence."""

DOMAIN = Thresholds(suspect_flows=4, suspect_s=0.18)
"""Thresholds for all targets of a failure domain together."""


class TargetLiveness(msgspec.Struct):
    """Stalled flows of one target or failure domain.

    Attributes:
        thresholds: Evidence that is needed.
        stalled_flows: Flows with a retransmission since the last reply.
        last_retransmission_s: Time of the last one, in seconds.
        last_reply_s: Time of the last reply, in seconds.
        last_trial_s: Time of the last opening packet sent while suspect, in
            seconds.
    """

    thresholds: Thresholds
    stalled_flows: set[flow_packets.FlowKey] = msgspec.field(
        default_factory=set
    )
    last_retransmission_s: float = float("-inf")
    last_reply_s: float = float("-inf")
    last_trial_s: float = float("-inf")

    def observe_retransmission(
        self, now_s: float, key: flow_packets.FlowKey
    ) -> None:
        """Records that a caller repeated a packet of a flow."""
        if now_s - self.last_retransmission_s > EVIDENCE_LIFETIME_S:
            self.stalled_flows.clear()
        self.last_retransmission_s = now_s
        self.stalled_flows.add(key)

    def observe_reply(self, now_s: float) -> None:
        """Records a reply, which clears the stalled flows."""
        self.last_reply_s = now_s
        if self.stalled_flows:
            self.stalled_flows.clear()

    def observe_opening(self, now_s: float) -> None:
        """Records an opening packet, which is a trial of a suspect target."""
        if self.is_suspect(now_s):
            self.last_trial_s = now_s

    def is_suspect(self, now_s: float) -> bool:
        """Returns whether new flows should go to other targets.

        This needs `suspect_flows` stalled flows, a retransmission within
        `EVIDENCE_LIFETIME_S`, and no reply for `suspect_s`.
        """
        return (
            self._has_recent_evidence(now_s)
            and len(self.stalled_flows) >= self.thresholds.suspect_flows
            and now_s - self.last_reply_s > self.thresholds.suspect_s
        )

    def is_avoided(self, now_s: float) -> bool:
        """Returns whether it is suspect and a trial was sent recently.

        Recently means within `TRIAL_INTERVAL_S`.
        """
        is_trial_recent = now_s - self.last_trial_s <= TRIAL_INTERVAL_S
        return is_trial_recent and self.is_suspect(now_s)

    def _has_recent_evidence(self, now_s: float) -> bool:
        """Returns whether a caller has retransmitted recently."""
        return now_s - self.last_retransmission_s <= EVIDENCE_LIFETIME_S
