"""A packet on its way through this host."""

import dataclasses
import enum

from tamarack_core.internal.entry import lookup
from tamarack_core.packets import geneve
from tamarack_core.packets import ip
from tamarack_core.packets import rewrite

_SEQUENCE_MASK = 0xFFFFFFFF


class Form(enum.Enum):
    """Which addresses a packet carries.

    INBOUND: from the caller to the service.
    INSIDE: from the caller to the target.
    OUTBOUND: from the target to the caller.
    """

    INBOUND = "inbound"
    INSIDE = "inside"
    OUTBOUND = "outbound"


@dataclasses.dataclass(slots=True)
class TransitPacket:
    """A packet with what is known about it.

    Attributes:
        now_s: Monotonic time in seconds.
        packet: The packet.
        form: Which addresses it carries.
        port: Service port of its flow.
        key: Flow key.
        word: Word of the hop option; 0 from the fabric.
    """

    now_s: float
    packet: ip.Packet
    form: Form
    port: lookup.ServicePort
    key: bytes
    word: int

    def is_tcp(self) -> bool:
        """Returns whether this is a TCP packet."""
        return self.packet.protocol == ip.PROTOCOL_TCP

    def is_opening(self) -> bool:
        """Returns whether this is a SYN of the caller."""
        flags = self.packet.flags & (ip.TCP_SYN | ip.TCP_ACK)
        return self.form is Form.INBOUND and flags == ip.TCP_SYN

    def is_acceptance(self) -> bool:
        """Returns whether this is a SYN-ACK of the target."""
        wanted = ip.TCP_SYN | ip.TCP_ACK
        flags = self.packet.flags & wanted
        return self.form is Form.OUTBOUND and flags == wanted

    def acknowledged(self) -> int:
        """Returns the initial sequence number that a SYN-ACK acknowledges."""
        return (self.packet.acknowledgment - 1) & _SEQUENCE_MASK

    def target(self) -> bytes:
        """Returns the target that an inside or outbound packet names."""
        if self.form is Form.INSIDE:
            return self.packet.destination
        return self.packet.source

    def for_host(self, target: bytes) -> bytes:
        """Returns the packet in a form that names the target.

        Args:
            target: Packed address of the target.
        """
        if self.form is Form.INBOUND:
            return rewrite.destination(
                self.packet, target, self.port.target_port
            )
        return self.packet.data

    def for_fabric(self, target: bytes) -> bytes:
        """Returns the datagram that delivers the packet.

        Args:
            target: Packed address of the target.
        """
        if self.form is Form.OUTBOUND:
            return geneve.encapsulate(
                rewrite.source(self.packet, self.port.address, self.port.port)
            )
        return geneve.encapsulate(self.for_host(target))
