"""Drops and resets of the data path, with their verdicts."""

from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import verdict as verdict_lib
from tamarack_core.internal.entry import lookup
from tamarack_core.internal.entry import transit_packet as passage_lib
from tamarack_core.packets import geneve
from tamarack_core.packets import ip
from tamarack_core.packets import reset


class FlowRejector:
    """Tells callers what has become of their packets.

    Attributes:
        context: Identity, chance, time and counters.
    """

    __slots__ = ("context",)

    def __init__(self, context: context_lib.Context) -> None:
        """Creates the refusals of a host.

        Args:
            context: Identity, chance, time and counters.
        """
        self.context = context

    def refuse(
        self, passage: passage_lib.TransitPacket, verdict: verdict_lib.Verdict
    ) -> list[effects.Effect]:
        """Answers an opening with a reset, which means not run.

        Args:
            passage: The opening, inbound.
            verdict: Verdict with the reason.
        """
        if not passage.is_tcp():
            return self.drop(verdict.reason)
        return self._reset(passage, verdict, "flow-refused")

    def reset_open(
        self, passage: passage_lib.TransitPacket, reason: str
    ) -> list[effects.Effect]:
        """Resets a flow that can't go on; its request may have run.

        Args:
            passage: A packet of the caller, inbound.
            reason: Constant name of the cause.
        """
        verdict = verdict_lib.may_have_run(reason)
        return self._reset(passage, verdict, "flow-reset")

    def drop(self, reason: str) -> list[effects.Effect]:
        """Counts a dropped packet.

        Args:
            reason: Constant name of the cause.
        """
        self.context.counters["dropped-" + reason] += 1
        return []

    def _reset(
        self,
        passage: passage_lib.TransitPacket,
        verdict: verdict_lib.Verdict,
        name: str,
    ) -> list[effects.Effect]:
        """Answers a packet with a reset and records the verdict."""
        if passage.packet.flags & ip.TCP_RST:
            return self.drop(verdict.reason)
        self.context.counters[name] += 1
        record = self.context.record(
            passage.now_s,
            name,
            service=passage.port.service,
            flow=lookup.format_flow(passage.key),
            verdict=verdict.outcome,
            reason=verdict.reason,
        )
        answer = geneve.encapsulate(reset.for_packet(passage.packet))
        return [effects.SendDatagram(None, answer), record]
