"""What an entry host sees of flows and targets in the packets that pass.

Replies go straight to the callers, so that only callers are seen: an opening
that is repeated was not answered, an acknowledgement that moves on was.
"""

import msgspec

MAX_FLOWS = 50_000
"""Flows that are remembered; 16 MB at about 330 bytes each."""

SUSPECT_FLOWS = 2
"""Flows without an answer that make a target suspect; one packet in a
thousand is lost, so a single repetition says little."""

SUSPECT_SILENCE_S = 0.18
"""Time without any answer that makes a target suspect, in seconds; just under
the 0.2 s after which callers repeat a packet."""

RETRY_S = 1.0
"""Time after which a suspect target is tried with one opening, in seconds."""


class Flow(msgspec.Struct):
    """A flow as this host sees it.

    Attributes:
        target: Name of the target.
        last_s: Time of its last packet, in seconds.
        is_open: Whether a target has answered the opening.
        tried: Targets that were sent the opening.
        acknowledged: How much the caller has received.
        sequence: End of the payload that the caller has sent.
        waits_since_s: Time since which a request has no reply; None if none
            is waiting.
    """

    target: str
    last_s: float
    is_open: bool = False
    tried: tuple[str, ...] = ()
    acknowledged: int = 0
    sequence: int = 0
    waits_since_s: float | None = None


class Watch(msgspec.Struct):
    """What is seen of one target.

    Attributes:
        flows: Flows that are open, or being opened, through this host.
        waiting: Flows whose last request has no reply.
        answered_s: Time of the last sign of life, in seconds.
        silent: Flows that repeated a packet since then.
        tried_s: Time of the last opening sent to it while suspect.
    """

    flows: int = 0
    waiting: int = 0
    answered_s: float = float("-inf")
    silent: set[tuple[int, int, int, int]] = msgspec.field(default_factory=set)
    tried_s: float = float("-inf")

    def is_suspect(self, now_s: float) -> bool:
        """Returns whether several flows wait and none is answered."""
        return (
            len(self.silent) >= SUSPECT_FLOWS
            and now_s - self.answered_s > SUSPECT_SILENCE_S
        )

    def may_try(self, now_s: float) -> bool:
        """Returns whether one opening may test a suspect target."""
        return now_s - self.tried_s > RETRY_S


class Watching:
    """Flows and targets as the packets show them.

    Attributes:
        flows: Flows by their key, the longest idle first.
        targets: Watches by name of the target.
    """

    __slots__ = ("flows", "targets")

    def __init__(self) -> None:
        """Creates an empty record."""
        self.flows: dict[tuple[int, int, int, int], Flow] = {}
        self.targets: dict[str, Watch] = {}

    def watch(self, name: str) -> Watch:
        """Returns the watch of a target."""
        found = self.targets.get(name)
        if found is None:
            found = self.targets[name] = Watch()
        return found

    def note_opening(
        self, now_s: float, key: tuple[int, int, int, int], target: str
    ) -> None:
        """Takes note that an opening is sent to a target."""
        held = self.flows.pop(key, None)
        tried: tuple[str, ...] = ()
        if held is not None:
            self._release(held)
            if not held.is_open:
                tried = held.tried
        self.flows[key] = Flow(target, now_s, tried=(*tried, target))
        watch = self.watch(target)
        watch.flows += 1
        if watch.silent:
            watch.tried_s = now_s
        if len(self.flows) > MAX_FLOWS:
            self.end(next(iter(self.flows)))

    def note_unanswered(
        self, now_s: float, key: tuple[int, int, int, int]
    ) -> tuple[str, ...]:
        """Takes note that a caller repeats its opening.

        Returns:
            The targets that did not answer it.
        """
        held = self.flows.get(key)
        if held is None or held.is_open:
            return ()
        self.watch(held.target).silent.add(key)
        return held.tried

    def note_packet(
        self,
        now_s: float,
        key: tuple[int, int, int, int],
        target: str,
        sequence: int,
        acknowledged: int,
        payload_bytes: int,
    ) -> bool:
        """Takes note of a packet of an open flow.

        Args:
            now_s: Monotonic time in seconds.
            key: The flow.
            target: Name of its target.
            sequence: Place of the payload.
            acknowledged: How much the caller has received.
            payload_bytes: Length of the payload.

        Returns:
            Whether the flow is seen open for the first time.
        """
        flow = self.flows.pop(key, None)
        watch = self.watch(target)
        is_new = flow is None or not flow.is_open
        if flow is None or flow.target != target:
            if flow is not None:
                self._release(flow)
            flow = Flow(target, now_s, sequence=sequence)
            watch.flows += 1
        self.flows[key] = flow
        flow.last_s = now_s
        if is_new:
            flow.is_open = True
            flow.sequence = sequence
            self._note_answer(now_s, key, watch)
        elif acknowledged != flow.acknowledged:
            self._note_answer(now_s, key, watch)
            self._stop_waiting(flow, watch)
        flow.acknowledged = acknowledged
        if payload_bytes:
            self._note_payload(now_s, key, flow, sequence + payload_bytes)
        return is_new

    def _note_payload(
        self,
        now_s: float,
        key: tuple[int, int, int, int],
        flow: Flow,
        end: int,
    ) -> None:
        """Takes note of payload; what was sent before is a repetition."""
        watch = self.watch(flow.target)
        if (end - flow.sequence) % (1 << 32) in range(1, 1 << 31):
            flow.sequence = end
            if flow.waits_since_s is None:
                flow.waits_since_s = now_s
                watch.waiting += 1
        else:
            watch.silent.add(key)

    def _note_answer(
        self, now_s: float, key: tuple[int, int, int, int], watch: Watch
    ) -> None:
        """Takes note of a sign of life of a target."""
        watch.answered_s = now_s
        watch.silent.clear()

    def _stop_waiting(self, flow: Flow, watch: Watch) -> None:
        """Takes note that a reply has come."""
        if flow.waits_since_s is not None:
            flow.waits_since_s = None
            watch.waiting -= 1

    def end(self, key: tuple[int, int, int, int]) -> None:
        """Forgets a flow."""
        flow = self.flows.pop(key, None)
        if flow is not None:
            self._release(flow)

    def _release(self, flow: Flow) -> None:
        """Takes a flow off its target."""
        watch = self.watch(flow.target)
        watch.flows -= 1
        self._stop_waiting(flow, watch)

    def forget_idle(self, now_s: float, idle_s: float) -> None:
        """Forgets flows without a packet for `idle_s` seconds."""
        while self.flows:
            key, flow = next(iter(self.flows.items()))
            if now_s - flow.last_s <= idle_s:
                return
            self.end(key)
