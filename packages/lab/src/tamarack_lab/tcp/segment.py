"""TCP segments and their encoding as whole IP packets with dpkt.

The codec shares no code with the load balancer. If the load balancer rewrites
a packet incorrectly, the checksum verification of this module detects it.
"""

import dataclasses
import struct

import dpkt

from tamarack_core import failure

FIN = dpkt.tcp.TH_FIN
SYN = dpkt.tcp.TH_SYN
RST = dpkt.tcp.TH_RST
PSH = dpkt.tcp.TH_PUSH
ACK = dpkt.tcp.TH_ACK

# Bytes of the IP and TCP headers of a segment without options.
IPV4_OVERHEAD_BYTES = 40
IPV6_OVERHEAD_BYTES = 60
DEFAULT_MSS_BYTES = 536

_IPV4_BYTES = 4
_TIME_TO_LIVE = 64
_MSS_OPTION_WORDS = 1
_HEADER_WORDS = 5
_PARSE_ERRORS = (dpkt.Error, struct.error, IndexError, ValueError)


@dataclasses.dataclass(slots=True)
class Segment:
    """A TCP segment with the addresses of its IP packet.

    Attributes:
        source: Source address in network byte order.
        source_port: Source port.
        destination: Destination address in network byte order.
        destination_port: Destination port.
        sequence: Sequence number, 32 bits.
        acknowledgment: Acknowledgment number, 32 bits.
        flags: TCP flags.
        window: Receive window in bytes.
        mss: Value of the maximum segment size option in bytes; 0 if the
            option is absent.
        payload: Payload.
    """

    source: bytes
    source_port: int
    destination: bytes
    destination_port: int
    sequence: int
    acknowledgment: int
    flags: int
    window: int = 0
    mss: int = 0
    payload: bytes = b""

    @property
    def length(self) -> int:
        """Number of sequence numbers that the segment occupies."""
        control = bool(self.flags & SYN) + bool(self.flags & FIN)
        return len(self.payload) + control


def encode(segment: Segment) -> bytes:
    """Returns the IP packet of a segment, with IP and TCP checksums."""
    options = b""
    if segment.mss:
        options = struct.pack("!BBH", dpkt.tcp.TCP_OPT_MSS, 4, segment.mss)
    header = dpkt.tcp.TCP(
        sport=segment.source_port,
        dport=segment.destination_port,
        seq=segment.sequence,
        ack=segment.acknowledgment,
        off=_HEADER_WORDS + len(options) // 4,
        flags=segment.flags,
        win=segment.window,
        opts=options,
        data=segment.payload,
    )
    return encode_packet(
        segment.source, segment.destination, dpkt.ip.IP_PROTO_TCP, header
    )


def encode_packet(
    source: bytes, destination: bytes, protocol: int, header: dpkt.Packet
) -> bytes:
    """Returns an IP packet around a transport header, with checksums.

    Args:
        source: Source address in network byte order.
        destination: Destination address in network byte order.
        protocol: IP protocol number.
        header: Transport header with payload; the checksum is filled in.
    """
    if len(source) == _IPV4_BYTES:
        packet = dpkt.ip.IP(
            src=source,
            dst=destination,
            p=protocol,
            ttl=_TIME_TO_LIVE,
            data=header,
        )
    else:
        packet = dpkt.ip6.IP6(
            src=source,
            dst=destination,
            nxt=protocol,
            hlim=_TIME_TO_LIVE,
            plen=len(header),
            data=header,
        )
    return bytes(packet)


def decode(packet: bytes) -> Segment | failure.Failure:
    """Returns the TCP segment of an IP packet, or the reason of a failure.

    Args:
        packet: A whole IP packet. Its checksums are verified.
    """
    parsed = decode_packet(packet)
    if isinstance(parsed, failure.Failure):
        return parsed
    header = parsed.data
    if not isinstance(header, dpkt.tcp.TCP):
        return failure.Failure("not-tcp")
    return Segment(
        parsed.src,
        header.sport,
        parsed.dst,
        header.dport,
        header.seq,
        header.ack,
        header.flags,
        header.win,
        _read_mss(header.opts),
        bytes(header.data),
    )


def decode_packet(packet: bytes) -> dpkt.ip.IP | dpkt.ip6.IP6 | failure.Failure:
    """Returns the parsed IP packet with its transport header, or a failure.

    Args:
        packet: A whole IP packet. Its checksums are verified.
    """
    if not packet:
        return failure.Failure("truncated")
    try:
        if packet[0] >> 4 == _IPV4_BYTES:
            parsed = dpkt.ip.IP(packet)
            header_bytes = parsed.hl * 4
        else:
            parsed = dpkt.ip6.IP6(packet)
            header_bytes = len(packet) - parsed.plen
    except _PARSE_ERRORS as error:
        return failure.Failure("unreadable", str(error))
    if isinstance(parsed, dpkt.ip.IP) and dpkt.in_cksum(packet[:header_bytes]):
        return failure.Failure("ip-checksum")
    if not _has_valid_checksum(parsed, packet[header_bytes:]):
        return failure.Failure("transport-checksum")
    return parsed


def _has_valid_checksum(
    parsed: dpkt.ip.IP | dpkt.ip6.IP6, transport: bytes
) -> bool:
    """Returns True if the checksum of the transport header is valid.

    UDP over IPv4 may omit the checksum.
    """
    header = parsed.data
    if isinstance(header, dpkt.udp.UDP) and header.sum == 0:
        return isinstance(parsed, dpkt.ip.IP)
    length = len(transport)
    if isinstance(parsed, dpkt.ip.IP):
        pseudo = struct.pack(
            "!4s4sxBH", parsed.src, parsed.dst, parsed.p, length
        )
    else:
        pseudo = struct.pack(
            "!16s16sIxxxB", parsed.src, parsed.dst, length, parsed.nxt
        )
    total = dpkt.dpkt.in_cksum_add(0, pseudo)
    total = dpkt.dpkt.in_cksum_add(total, transport)
    return bool(dpkt.dpkt.in_cksum_done(total) == 0)


def _read_mss(options: bytes) -> int:
    """Returns the maximum segment size option, or 0 if it is absent."""
    if not options:
        return 0
    try:
        values = dict(dpkt.tcp.parse_opts(options))
        return int.from_bytes(values.get(dpkt.tcp.TCP_OPT_MSS, b""), "big")
    except _PARSE_ERRORS:
        return 0
