"""Who does not answer, judged by several flows at once.

The load that it answers: targets that crash without a word, and failure
domains that are cut off, while single packets are lost and single requests
take long. Replies go straight to callers; a host sees only that a caller
repeats a packet, or that it acknowledges more.
"""

import msgspec

from tamarack_core import flow_packets

RETRY_S = 1.0
"""Time after which one opening tests who is suspect, in seconds."""


FRESH_S = 2.0
"""Time after which silence says nothing of now, in seconds; a caller that waits
repeats at least each 1.6 s."""


class Patience(msgspec.Struct, frozen=True):
    """How much silence it takes.

    Attributes:
        suspect_flows: Silent flows that keep openings away.
        suspect_s: Time without any answer that does, in seconds.
        dark_flows: Silent flows that reset open flows.
        dark_s: Time for which they must have been silent, in seconds.
    """

    suspect_flows: int
    suspect_s: float
    dark_flows: int
    dark_s: float


TARGET = Patience(suspect_flows=2, suspect_s=0.18, dark_flows=3, dark_s=0.6)
"""Of one target. Callers repeat after 0.2 s, and one packet in a thousand is
lost, so a single repetition says little. No request takes 0.6 s in which no
other one of the target ends."""

DOMAIN = Patience(suspect_flows=4, suspect_s=0.18, dark_flows=5, dark_s=0.35)
"""Of all targets of a failure domain together, of which some always answer."""


class Silence(msgspec.Struct):
    """The flows of one target or failure domain that wait in vain.

    Attributes:
        patience: How much silence it takes.
        flows: Flows that repeated a packet since the last answer.
        since_s: Time of the first of these repetitions, in seconds.
        repeated_s: Time of the last of them, in seconds.
        answered_s: Time of the last answer, in seconds.
        tested_s: Time of the last opening sent while suspect, in seconds.
    """

    patience: Patience
    flows: set[flow_packets.FlowKey] = msgspec.field(default_factory=set)
    since_s: float = 0.0
    repeated_s: float = float("-inf")
    answered_s: float = float("-inf")
    tested_s: float = float("-inf")

    def note_repetition(self, now_s: float, key: flow_packets.FlowKey) -> None:
        """Takes note that a flow repeats a packet."""
        if now_s - self.repeated_s > FRESH_S:
            self.flows.clear()
        if not self.flows:
            self.since_s = now_s
        self.repeated_s = now_s
        self.flows.add(key)

    def note_answer(self, now_s: float) -> None:
        """Takes note of a sign of life."""
        self.answered_s = now_s
        if self.flows:
            self.flows.clear()

    def note_opening(self, now_s: float) -> None:
        """Takes note of an opening, which is a test of who is suspect."""
        if self.is_suspect(now_s):
            self.tested_s = now_s

    def is_suspect(self, now_s: float) -> bool:
        """Returns whether openings had better go elsewhere."""
        return (
            self._is_fresh(now_s)
            and len(self.flows) >= self.patience.suspect_flows
            and now_s - self.answered_s > self.patience.suspect_s
        )

    def is_avoided(self, now_s: float) -> bool:
        """Returns whether it is suspect, and no test is due."""
        is_tested = now_s - self.tested_s <= RETRY_S
        return is_tested and self.is_suspect(now_s)

    def is_dark(self, now_s: float) -> bool:
        """Returns whether open flows had better be given up."""
        return (
            self._is_fresh(now_s)
            and len(self.flows) >= self.patience.dark_flows
            and now_s - self.since_s >= self.patience.dark_s
        )

    def _is_fresh(self, now_s: float) -> bool:
        """Returns whether a caller has waited in vain just now."""
        return now_s - self.repeated_s <= FRESH_S
