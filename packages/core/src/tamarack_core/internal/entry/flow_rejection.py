"""Dropped packets, refused openings and reset flows, with their verdicts."""

from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import verdict as verdict_lib
from tamarack_core.internal.entry import lookup
from tamarack_core.internal.entry import transit_packet as transit_lib
from tamarack_core.packets import geneve
from tamarack_core.packets import ip
from tamarack_core.packets import reset


class FlowRejector:
    """Drops packets, and sends resets to callers.

    Attributes:
        context: Identity, random generator, clocks and counters of the host.
    """

    __slots__ = ("context",)

    def __init__(self, context: context_lib.Context) -> None:
        """Initializes the rejector.

        Args:
            context: Identity, random generator, clocks and counters of the
                host.
        """
        self.context = context

    def refuse(
        self, transit: transit_lib.TransitPacket, verdict: verdict_lib.Verdict
    ) -> list[effects.Effect]:
        """Refuses an opening with a reset; the request has not run.

        An opening without TCP is dropped.

        Args:
            transit: The opening, inbound.
            verdict: Verdict with the reason.
        """
        if not transit.is_tcp():
            return self.drop(verdict.reason)
        return self._reset(transit, verdict, "flow-refused")

    def reset_open(
        self, transit: transit_lib.TransitPacket, reason: str
    ) -> list[effects.Effect]:
        """Resets a flow that can't continue; its request may have run.

        Args:
            transit: A packet of the caller, inbound.
            reason: Constant name of the reason.
        """
        verdict = verdict_lib.may_have_run(reason)
        return self._reset(transit, verdict, "flow-reset")

    def drop(self, reason: str) -> list[effects.Effect]:
        """Drops a packet and counts the reason.

        Args:
            reason: Constant name of the reason.
        """
        self.context.counters["dropped-" + reason] += 1
        return []

    def _reset(
        self,
        transit: transit_lib.TransitPacket,
        verdict: verdict_lib.Verdict,
        name: str,
    ) -> list[effects.Effect]:
        """Sends a reset for a packet and records the verdict.

        A packet that is itself a reset is dropped.
        """
        if transit.packet.flags & ip.TCP_RST:
            return self.drop(verdict.reason)
        self.context.counters[name] += 1
        record = self.context.record(
            transit.now_s,
            name,
            service=transit.port.service,
            flow=lookup.format_flow(transit.key),
            verdict=verdict.outcome,
            reason=verdict.reason,
        )
        datagram = geneve.encapsulate(reset.for_packet(transit.packet))
        return [effects.SendDatagram(None, datagram), record]
