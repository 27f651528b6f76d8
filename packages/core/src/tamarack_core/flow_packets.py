"""Packets of flows whose form the platform fixes.

The core decides on the fields below; a codec, handed in by the adapter of the
platform, knows the form on the wire.
"""

from typing import Protocol

import msgspec

from tamarack_core import failure
from tamarack_core import peers

FlowKey = tuple[int, int, int, int]
"""Caller address and port, service address and port; addresses as numbers."""


class FlowPacket(msgspec.Struct):
    """A packet of a caller.

    Attributes:
        flow: The flow that it belongs to.
        is_opening: Whether it asks to open the flow.
        is_reset: Whether it ends the flow at once.
        is_last: Whether the caller sends nothing after it.
        cookie: Tag that the flow carries; 0 before a target answered.
        copy_number: Of an opening, how many copies were sent before.
        sequence: Place of the payload in what the caller sends.
        acknowledged: How much the caller has received.
        payload_bytes: Length of the payload.
        data: The packet as it arrived.
    """

    flow: FlowKey
    is_opening: bool
    is_reset: bool
    is_last: bool
    cookie: int
    copy_number: int
    sequence: int
    acknowledged: int
    payload_bytes: int
    data: bytes


class PacketCodec(Protocol):
    """Translates between packets and their form on the wire."""

    def decode(self, data: bytes) -> FlowPacket | failure.Failure:
        """Returns the packet in a datagram, or why there is none."""

    def encode_forward(
        self, packet: FlowPacket, target: str, cookie: int
    ) -> bytes | None:
        """Returns the datagram that hands a packet to a target.

        Args:
            packet: The packet.
            target: Name of the target, which drops what names another.
            cookie: Tag that the flow shall carry.

        Returns:
            The datagram; None if the name can't be written in it.
        """

    def encode_reset(
        self, key: FlowKey, acknowledged: int
    ) -> tuple[peers.Endpoint, bytes]:
        """Returns where a reset for the caller goes, and the datagram.

        Args:
            key: The flow.
            acknowledged: How much the caller has received.
        """


def address_to_number(address: str) -> int:
    """Returns the number of an IPv4 address that was checked before.

    The module `ipaddress` would add a fiftieth to the start of an entry host.
    """
    return int.from_bytes(bytes(map(int, address.split("."))), "big")


def number_to_address(number: int) -> str:
    """Returns the text form of an IPv4 address."""
    return ".".join(map(str, number.to_bytes(4, "big")))


def describe(flow: FlowKey) -> str:
    """Returns the text form of a flow, as in logs."""
    caller, service = number_to_address(flow[0]), number_to_address(flow[2])
    return f"{caller}:{flow[1]}>{service}:{flow[3]}"
