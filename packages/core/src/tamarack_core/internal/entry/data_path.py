"""Data path: carries packets between callers and targets."""

from tamarack_core import context as context_lib
from tamarack_core import effects
from tamarack_core import events
from tamarack_core import failure
from tamarack_core import reducer
from tamarack_core.internal.distribution import holder
from tamarack_core.internal.entry import choosing
from tamarack_core.internal.entry import lookup
from tamarack_core.packets import geneve
from tamarack_core.packets import ip
from tamarack_core.packets import reset
from tamarack_core.packets import rewrite


class DataPath:
    """Part that handles datagrams of the fabric.

    Attributes:
        context: Identity, chance, time and counters.
        holder: Configuration in force.
        chooser: Chooses the target of a new flow.
        flows: Target of each known flow, by flow key.
    """

    __slots__ = ("chooser", "context", "flows", "holder")

    def __init__(
        self,
        context: context_lib.Context,
        configuration_holder: holder.Holder,
        chooser: choosing.Chooser,
    ) -> None:
        """Creates the part.

        Args:
            context: Identity, chance, time and counters.
            configuration_holder: Configuration in force.
            chooser: Chooses the target of a new flow.
        """
        self.context = context
        self.holder = configuration_holder
        self.chooser = chooser
        self.flows: dict[bytes, bytes] = {}

    def handlers(self) -> dict[reducer.Key, reducer.Handler]:
        """Returns the handlers of this part."""
        return {events.DatagramArrived: self.handle_datagram}

    def handle_datagram(
        self, event: events.DatagramArrived
    ) -> list[effects.Effect]:
        """Rewrites a packet and sends it on, or counts why it is dropped."""
        datagram = geneve.decapsulate(event.data)
        if isinstance(datagram, failure.Failure):
            return self._drop(datagram.reason)
        packet = ip.parse(datagram.packet)
        if isinstance(packet, failure.Failure):
            return self._drop(packet.reason)
        port = self.holder.lookup.find_inbound(packet)
        if port is not None:
            return self._carry_in(event.now_s, packet, port)
        port = self.holder.lookup.find_outbound(packet)
        if port is not None:
            return self._carry_out(packet, port)
        return self._drop("no-service")

    def _carry_in(
        self, now_s: float, packet: ip.Packet, port: lookup.ServicePort
    ) -> list[effects.Effect]:
        """Sends a caller's packet to the target of its flow."""
        key = lookup.flow_key(packet)
        target = self.flows.get(key)
        if target is None:
            choice = self.chooser.choose(now_s, choosing.Opening(key, port))
            if isinstance(choice, choosing.Refusal):
                return self._refuse(now_s, packet, port, choice)
            target = choice.target
            self.flows[key] = target
        rewritten = rewrite.destination(packet, target, port.target_port)
        return [effects.SendDatagram(None, geneve.encapsulate(rewritten))]

    def _carry_out(
        self, packet: ip.Packet, port: lookup.ServicePort
    ) -> list[effects.Effect]:
        """Sends a target's packet to the caller and learns the flow."""
        self.flows[lookup.reply_key(packet, port)] = packet.source
        rewritten = rewrite.source(packet, port.address, port.port)
        return [effects.SendDatagram(None, geneve.encapsulate(rewritten))]

    def _refuse(
        self,
        now_s: float,
        packet: ip.Packet,
        port: lookup.ServicePort,
        refusal: choosing.Refusal,
    ) -> list[effects.Effect]:
        """Answers an opening with a reset, which means not run."""
        if packet.flags & ip.TCP_RST or packet.protocol != ip.PROTOCOL_TCP:
            return self._drop(refusal.verdict.reason)
        record = self.context.record(
            now_s,
            "flow-refused",
            service=port.service,
            flow=lookup.format_flow(lookup.flow_key(packet)),
            verdict=refusal.verdict.outcome,
            reason=refusal.verdict.reason,
        )
        answer = geneve.encapsulate(reset.answer(packet))
        return [effects.SendDatagram(None, answer), record]

    def _drop(self, reason: str) -> list[effects.Effect]:
        """Counts a dropped packet."""
        self.context.counters["dropped-" + reason] += 1
        return []
