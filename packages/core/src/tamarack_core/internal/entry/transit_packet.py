"""A packet in transit through this host."""

import dataclasses
import enum

from tamarack_core.internal.entry import lookup
from tamarack_core.packets import geneve
from tamarack_core.packets import ip
from tamarack_core.packets import rewrite

_SEQUENCE_MASK = 0xFFFFFFFF


class Addressing(enum.Enum):
    """Source and destination of a packet.

    INBOUND: from the caller to the service.
    REWRITTEN: from the caller to the target; only between two hosts.
    OUTBOUND: from the target to the caller.
    """

    INBOUND = "inbound"
    REWRITTEN = "inside"
    OUTBOUND = "outbound"


@dataclasses.dataclass(slots=True)
class TransitPacket:
    """A packet in transit, with its flow.

    Attributes:
        now_s: Monotonic time in seconds.
        packet: The packet.
        addressing: Source and destination of the packet.
        port: Service port of its flow.
        key: Flow key.
        hop_value: Value of the hop option; 0 for a packet from the fabric.
    """

    now_s: float
    packet: ip.Packet
    addressing: Addressing
    port: lookup.ServicePort
    key: bytes
    hop_value: int

    def is_tcp(self) -> bool:
        """Returns whether this is a TCP packet."""
        return self.packet.protocol == ip.PROTOCOL_TCP

    def is_syn(self) -> bool:
        """Returns whether this is a SYN of the caller."""
        flags = self.packet.flags & (ip.TCP_SYN | ip.TCP_ACK)
        return self.addressing is Addressing.INBOUND and flags == ip.TCP_SYN

    def is_syn_ack(self) -> bool:
        """Returns whether this is a SYN-ACK of the target."""
        wanted = ip.TCP_SYN | ip.TCP_ACK
        flags = self.packet.flags & wanted
        return self.addressing is Addressing.OUTBOUND and flags == wanted

    def acknowledged_sequence(self) -> int:
        """Returns the initial sequence number that a SYN-ACK acknowledges."""
        return (self.packet.acknowledgment - 1) & _SEQUENCE_MASK

    def target(self) -> bytes:
        """Returns the target address of a rewritten or outbound packet."""
        if self.addressing is Addressing.REWRITTEN:
            return self.packet.destination
        return self.packet.source

    def packet_for_host(self, target: bytes) -> bytes:
        """Returns the packet for another host, which reads the target from it.

        Args:
            target: Packed address of the target.
        """
        if self.addressing is Addressing.INBOUND:
            return rewrite.destination(
                self.packet, target, self.port.target_port
            )
        return self.packet.data

    def datagram_for_fabric(self, target: bytes) -> bytes:
        """Returns the datagram that delivers the packet through the fabric.

        Args:
            target: Packed address of the target.
        """
        if self.addressing is Addressing.OUTBOUND:
            return geneve.encapsulate(
                rewrite.source(self.packet, self.port.address, self.port.port)
            )
        return geneve.encapsulate(self.packet_for_host(target))
