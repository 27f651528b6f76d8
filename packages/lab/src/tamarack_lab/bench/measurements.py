"""Measurements of the benchmark as medians of several runs."""

import pathlib
import socket
import statistics
import tempfile
import time

import msgspec

from tamarack_core.packets import geneve
from tamarack_core.packets import ip
from tamarack_lab.bench import entry_process
from tamarack_lab.bench import traffic

FLOWS_PER_RUN = 10_000
PACKET_ROUNDS = 4
MEMORY_FLOWS = 300_000
DELAY_PACKETS = 2_000
US_PER_S = 1_000_000
PERCENTILES = 100


class Results(msgspec.Struct, frozen=True):
    """Benchmark results of one entry process on one core.

    Attributes:
        runs: Number of runs behind each median.
        targets: Number of targets of the service.
        new_flows_per_s: Handshakes (three packets each) forwarded per second.
        packets_per_s: Packets with 256 bytes of payload forwarded per second.
        processor_us_per_packet: Processor time per packet in microseconds.
        lost_packets: Packets of all runs that were not received back.
        resident_bytes_idle: Resident memory before the first flow.
        resident_bytes_loaded: Resident memory with `flows_loaded` open flows.
        flows_loaded: Open flows that the host reports at that time.
        added_delay_p50_us: Median delay that the host adds, in microseconds.
        added_delay_p99_us: 99th percentile of that delay, in microseconds.
    """

    runs: int
    targets: int
    new_flows_per_s: float
    packets_per_s: float
    processor_us_per_packet: float
    lost_packets: int
    resident_bytes_idle: int
    resident_bytes_loaded: int
    flows_loaded: int
    added_delay_p50_us: float
    added_delay_p99_us: float


class Bench:
    """Benchmark of a running entry process.

    Attributes:
        entry: The entry process.
        opened: Connections opened so far.
        lost: Packets that were not received back.
    """

    __slots__ = ("entry", "lost", "opened")

    def __init__(self, entry: entry_process.EntryProcess) -> None:
        """Initializes the benchmark of a running entry process."""
        self.entry = entry
        self.opened = 0
        self.lost = 0

    def open_flows(self, count: int) -> tuple[list[traffic.Flow], float]:
        """Opens connections with complete handshakes.

        Args:
            count: Number of connections.

        Returns:
            The connections whose SYN was forwarded, and the seconds that the
            packets of all handshakes took.
        """
        self.entry.announce()
        flows = list(traffic.flows(self.opened, count))
        self.opened += count
        elapsed_s = 0.0
        received, took_s = self._timed_exchange(
            [flow.opening() for flow in flows]
        )
        elapsed_s += took_s
        targets = _targets_by_flow(received)
        flows = [flow for flow in flows if (flow.caller, flow.port) in targets]
        for flow in flows:
            flow.target = targets[flow.caller, flow.port]
        elapsed_s += self._timed_exchange(
            [flow.acceptance() for flow in flows]
        )[1]
        elapsed_s += self._timed_exchange(
            [flow.confirmation() for flow in flows]
        )[1]
        return flows, elapsed_s

    def forward_payload(
        self, flows: list[traffic.Flow]
    ) -> tuple[int, float, float]:
        """Sends payload in both directions on open connections.

        Returns:
            The number of packets forwarded, seconds, and processor seconds.
        """
        datagrams = [
            datagram
            for flow in flows
            for datagram in (flow.request(), flow.reply())
        ] * PACKET_ROUNDS
        before_s = self.entry.processor_s()
        received, elapsed_s = self._timed_exchange(datagrams)
        return (
            len(received),
            elapsed_s,
            self.entry.processor_s() - before_s,
        )

    def delays_s(self, flow: traffic.Flow) -> list[float]:
        """Returns the delays that the host adds to round trips, in seconds.

        Each is a round trip through the host minus the median round trip to
        the same kind of socket without the host.
        """
        datagram = flow.request()
        through = [self._round_trip_s(datagram) for _ in range(DELAY_PACKETS)]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.bind(("127.0.0.1", 0))
            loopback_s = statistics.median(
                _loopback_delay_s(sock, datagram) for _ in range(DELAY_PACKETS)
            )
        return [delay_s - loopback_s for delay_s in through]

    def _round_trip_s(self, datagram: bytes) -> float:
        """Returns the seconds until one datagram is received back."""
        start_s = time.perf_counter()
        self.entry.exchange([datagram])
        return time.perf_counter() - start_s

    def _timed_exchange(
        self, datagrams: list[bytes]
    ) -> tuple[list[bytes], float]:
        """Returns the datagrams received back and the seconds it took.

        Missing datagrams are added to `lost`.
        """
        start_s = time.perf_counter()
        received = self.entry.exchange(datagrams)
        elapsed_s = time.perf_counter() - start_s
        self.lost += len(datagrams) - len(received)
        return received, elapsed_s


def run(runs: int, targets: int) -> Results:
    """Returns the benchmark results of a newly started entry process.

    Args:
        runs: Number of runs for each median.
        targets: Number of targets of the service.
    """
    with tempfile.TemporaryDirectory() as folder:
        entry = entry_process.EntryProcess(pathlib.Path(folder), targets)
        try:
            return _measure(Bench(entry), runs, targets)
        finally:
            entry.close()


def _measure(bench: Bench, runs: int, targets: int) -> Results:
    """Runs all measurements on one entry process."""
    idle = bench.entry.resident_bytes()
    rates, packet_rates, costs = [], [], []
    flows: list[traffic.Flow] = []
    for _ in range(runs):
        flows, elapsed_s = bench.open_flows(FLOWS_PER_RUN)
        rates.append(len(flows) / elapsed_s)
        packets, elapsed_s, processor_s = bench.forward_payload(flows)
        packet_rates.append(packets / elapsed_s)
        costs.append(processor_s / packets * US_PER_S)
    delays = sorted(bench.delays_s(flows[0]))
    cuts = statistics.quantiles(delays, n=PERCENTILES)
    while bench.opened < MEMORY_FLOWS:
        bench.open_flows(min(FLOWS_PER_RUN, MEMORY_FLOWS - bench.opened))
    return Results(
        runs=runs,
        targets=targets,
        new_flows_per_s=round(statistics.median(rates)),
        packets_per_s=round(statistics.median(packet_rates)),
        processor_us_per_packet=round(statistics.median(costs), 2),
        lost_packets=bench.lost,
        resident_bytes_idle=idle,
        resident_bytes_loaded=bench.entry.resident_bytes(),
        flows_loaded=bench.entry.flows(),
        added_delay_p50_us=round(statistics.median(delays) * US_PER_S, 1),
        added_delay_p99_us=round(cuts[-1] * US_PER_S, 1),
    )


def _targets_by_flow(received: list[bytes]) -> dict[tuple[bytes, int], bytes]:
    """Returns the chosen target by caller address and port."""
    targets = {}
    for data in received:
        datagram = geneve.decapsulate(data)
        assert isinstance(datagram, geneve.Decapsulated)
        packet = ip.parse(datagram.packet)
        assert isinstance(packet, ip.Packet)
        targets[packet.source, packet.source_port] = packet.destination
    return targets


def _loopback_delay_s(sock: socket.socket, datagram: bytes) -> float:
    """Returns the seconds that a datagram from a socket to itself takes."""
    start_s = time.perf_counter()
    sock.sendto(datagram, sock.getsockname())
    sock.recv(entry_process.RECEIVE_BYTES)
    return time.perf_counter() - start_s
