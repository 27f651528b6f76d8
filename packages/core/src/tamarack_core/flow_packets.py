"""Packets of flows, independent of their wire format.

The core uses the fields below. The wire format is that of the platform, whose
adapter supplies a codec for it.
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
        is_opening: Whether it requests to open the flow.
        is_reset: Whether it aborts the flow.
        is_last: Whether the caller sends nothing after it.
        cookie: Tag that the flow carries; 0 before a target has replied.
        copy_number: Of an opening packet, how many copies were sent before.
        sequence: Sequence number of the payload.
        acknowledged: Acknowledgement number of the caller.
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
    """Decodes and encodes packets in their wire format."""

    def decode(self, data: bytes) -> FlowPacket | failure.Failure:
        """Returns the packet in a datagram, or why there is none."""

    def encode_forward(
        self, packet: FlowPacket, target: str, cookie: int
    ) -> bytes | None:
        """Returns the datagram that forwards a packet to a target.

        Args:
            packet: The packet.
            target: Name of the target, which drops packets for other names.
            cookie: Tag that the flow is to carry.

        Returns:
            The datagram; None if the name can't be encoded.
        """

    def encode_reset(
        self, key: FlowKey, acknowledged: int
    ) -> tuple[peers.Endpoint, bytes]:
        """Returns the endpoint for a reset of a flow, and the datagram.

        Args:
            key: The flow.
            acknowledged: Acknowledgement number of the caller.
        """


def address_to_number(address: str) -> int:
    """Converts an IPv4 address that is known to be valid to a number.

    Importing the module `ipaddress` would lengthen the start of an entry host
    by a fiftieth.
    """
    return int.from_bytes(bytes(map(int, address.split("."))), "big")


def number_to_address(number: int) -> str:
    """Returns the text form of an IPv4 address."""
    return ".".join(map(str, number.to_bytes(4, "big")))


def describe(flow: FlowKey) -> str:
    """Returns the text form of a flow, as in logs."""
    caller, service = number_to_address(flow[0]), number_to_address(flow[2])
    return f"{caller}:{flow[1]}>{service}:{flow[3]}"
