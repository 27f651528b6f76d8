"""Data path of the naive version, which keeps no flow table."""

from tamarack_core import effects
from tamarack_core import events
from tamarack_core import failure
from tamarack_core import reducer
from tamarack_core.internal.distribution import configuration_store
from tamarack_core.internal.entry import lookup
from tamarack_core.internal.entry import target_choice
from tamarack_core.packets import geneve
from tamarack_core.packets import ip
from tamarack_core.packets import reset
from tamarack_core.packets import rewrite


class NaiveDataPath:
    """Component that chooses the target of each packet by hash.

    Attributes:
        config_store: Configuration in force.
        chooser: Chooses targets by hash modulo the local list.
    """

    __slots__ = ("chooser", "config_store")

    def __init__(
        self,
        config_store: configuration_store.ConfigurationStore,
        chooser: target_choice.Chooser,
    ) -> None:
        """Initializes the data path."""
        self.config_store = config_store
        self.chooser = chooser

    def handlers(self) -> dict[reducer.Key, reducer.Handler]:
        """Returns the event handlers by key."""
        return {events.DatagramArrived: self.handle_datagram}

    def handle_datagram(
        self, event: events.DatagramArrived
    ) -> list[effects.Effect]:
        """Rewrites a packet and forwards it; ignores other datagrams."""
        datagram = geneve.decapsulate(event.data)
        if isinstance(datagram, failure.Failure):
            return []
        packet = ip.parse(datagram.packet)
        if isinstance(packet, failure.Failure):
            return []
        port = self.config_store.lookup.find_inbound(packet)
        if port is not None:
            return self._forward_inbound(event.now_s, packet, port)
        port = self.config_store.lookup.find_outbound(packet)
        if port is None:
            return []
        return _send(rewrite.source(packet, port.address, port.port))

    def _forward_inbound(
        self, now_s: float, packet: ip.Packet, port: lookup.ServicePort
    ) -> list[effects.Effect]:
        """Forwards a caller's packet to the target that its hash selects.

        A refused packet is replied to with a reset.
        """
        opening = target_choice.Opening(lookup.flow_key(packet), port)
        choice = self.chooser.choose(now_s, opening)
        if isinstance(choice, target_choice.Refusal):
            return _send(reset.for_packet(packet))
        target = choice.target
        return _send(rewrite.destination(packet, target, port.target_port))


def _send(packet: bytes) -> list[effects.Effect]:
    """Returns the effect that sends a packet to the fabric."""
    return [effects.SendDatagram(None, geneve.encapsulate(packet))]
