"""Packets of synthetic connections."""

from collections.abc import Iterator
import struct

from tamarack_core.packets import checksum
from tamarack_core.packets import geneve
from tamarack_core.packets import ip

SERVICE_ADDRESS = ip.pack_address("10.9.0.1")
SERVICE_PORT = 80
TARGET_PORT = 8080
FIRST_CALLER = int.from_bytes(ip.pack_address("10.16.0.0"), "big")
FIRST_PORT = 1024
PORTS_PER_CALLER = 60_000
PAYLOAD = bytes(256)
INITIAL_SEQUENCE = 1000

_tcp = struct.Struct("!HHIIBBHHH")
_ipv4 = struct.Struct("!BBHHHBBH")


def tcp_packet(
    source: bytes,
    source_port: int,
    destination: bytes,
    destination_port: int,
    flags: int,
    sequence: int,
    payload: bytes = b"",
) -> bytes:
    """Returns an IPv4 TCP packet.

    Args:
        source: Source address in network byte order.
        source_port: Source port.
        destination: Destination address in network byte order.
        destination_port: Destination port.
        flags: TCP flags.
        sequence: Sequence number.
        payload: TCP payload.
    """
    acknowledgment = INITIAL_SEQUENCE + 1 if flags & ip.TCP_ACK else 0
    fields = (source_port, destination_port, sequence, acknowledgment)
    header = _tcp.pack(*fields, 5 << 4, flags, 65535, 0, 0)
    length = len(header) + len(payload)
    pseudo = checksum.pseudo_header(
        source, destination, ip.PROTOCOL_TCP, length
    )
    total = checksum.of(pseudo + header + payload)
    header = _tcp.pack(*fields, 5 << 4, flags, 65535, total, 0)
    prefix = (0x45, 0, 20 + length, 0, 0x4000, 64, ip.PROTOCOL_TCP)
    header_sum = checksum.of(_ipv4.pack(*prefix, 0) + source + destination)
    return (
        _ipv4.pack(*prefix, header_sum)
        + source
        + destination
        + header
        + payload
    )


class Flow:
    """Synthetic connection.

    Attributes:
        caller: Packed IP address of the caller.
        port: Port of the caller.
        target: Packed IP address of the target; empty until known.
    """

    __slots__ = ("caller", "port", "target")

    def __init__(self, number: int) -> None:
        """Initializes the connection; its number gives caller and port.

        Args:
            number: Unique number of the connection, from 0.
        """
        caller, port = divmod(number, PORTS_PER_CALLER)
        self.caller = (FIRST_CALLER + caller).to_bytes(4, "big")
        self.port = FIRST_PORT + port
        self.target = b""

    def opening(self) -> bytes:
        """Returns the datagram with the SYN."""
        return self._from_caller(ip.TCP_SYN, INITIAL_SEQUENCE)

    def acceptance(self) -> bytes:
        """Returns the datagram with the SYN-ACK."""
        flags = ip.TCP_SYN | ip.TCP_ACK
        return self._from_target(flags, INITIAL_SEQUENCE)

    def confirmation(self) -> bytes:
        """Returns the datagram with the ACK that ends the handshake."""
        return self._from_caller(ip.TCP_ACK, INITIAL_SEQUENCE + 1)

    def request(self) -> bytes:
        """Returns a datagram with payload from the caller."""
        return self._from_caller(ip.TCP_ACK, INITIAL_SEQUENCE + 1, PAYLOAD)

    def reply(self) -> bytes:
        """Returns a datagram with payload from the target."""
        return self._from_target(ip.TCP_ACK, INITIAL_SEQUENCE + 1, PAYLOAD)

    def _from_caller(
        self, flags: int, sequence: int, payload: bytes = b""
    ) -> bytes:
        """Returns a datagram from the caller."""
        return geneve.encapsulate(
            tcp_packet(
                self.caller,
                self.port,
                SERVICE_ADDRESS,
                SERVICE_PORT,
                flags,
                sequence,
                payload,
            )
        )

    def _from_target(
        self, flags: int, sequence: int, payload: bytes = b""
    ) -> bytes:
        """Returns a datagram from the target."""
        return geneve.encapsulate(
            tcp_packet(
                self.target,
                TARGET_PORT,
                self.caller,
                self.port,
                flags,
                sequence,
                payload,
            )
        )


def flows(first: int, count: int) -> Iterator[Flow]:
    """Yields connections by number.

    Args:
        first: Number of the first connection.
        count: Number of connections.
    """
    return (Flow(number) for number in range(first, first + count))
