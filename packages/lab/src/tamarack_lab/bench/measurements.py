"""What the benchmark measures, each as the median of several runs."""

import pathlib
import socket
import statistics
import tempfile
import time

import msgspec

from tamarack_core.packets import geneve
from tamarack_core.packets import ip
from tamarack_lab.bench import entry_process as subject_lib
from tamarack_lab.bench import traffic

FLOWS_PER_RUN = 10_000
PACKET_ROUNDS = 4
MEMORY_FLOWS = 300_000
DELAY_PACKETS = 2_000
US_PER_S = 1_000_000
PERCENTILES = 100


class Results(msgspec.Struct, frozen=True):
    """Figures of one entry process on one core.

    Attributes:
        runs: Number of runs behind each median.
        targets: Number of targets of the service.
        new_flows_per_s: Handshakes (three packets each) carried a second.
        packets_per_s: Packets of 256 bytes payload carried a second.
        processor_us_per_packet: Processor time a packet in microseconds.
        lost_packets: Packets of all runs that did not come back.
        resident_bytes_idle: Resident memory before the first flow.
        resident_bytes_loaded: Resident memory with `flows_loaded` open flows.
        flows_loaded: Flows that the host itself counts at that reading.
        added_delay_p50_us: Median delay that the host adds, microseconds.
        added_delay_p99_us: 99th percentile of that delay, microseconds.
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
    """One pass of the benchmark.

    Attributes:
        subject: The entry process.
        opened: Connections opened so far.
        lost: Packets that did not come back.
    """

    __slots__ = ("lost", "opened", "subject")

    def __init__(self, subject: subject_lib.Subject) -> None:
        """Creates a pass over a running entry process."""
        self.subject = subject
        self.opened = 0
        self.lost = 0

    def open_flows(self, count: int) -> tuple[list[traffic.Flow], float]:
        """Opens connections with full handshakes.

        Args:
            count: Number of connections.

        Returns:
            The connections, and the seconds that their packets took.
        """
        self.subject.announce()
        flows = list(traffic.flows(self.opened, count))
        self.opened += count
        elapsed_s = 0.0
        carried, took_s = self._time([flow.opening() for flow in flows])
        elapsed_s += took_s
        targets = _targets_by_flow(carried)
        flows = [flow for flow in flows if (flow.caller, flow.port) in targets]
        for flow in flows:
            flow.target = targets[flow.caller, flow.port]
        elapsed_s += self._time([flow.acceptance() for flow in flows])[1]
        elapsed_s += self._time([flow.confirmation() for flow in flows])[1]
        return flows, elapsed_s

    def carry(self, flows: list[traffic.Flow]) -> tuple[int, float, float]:
        """Carries payload both ways on open connections.

        Returns:
            Packets carried, seconds, and processor seconds.
        """
        datagrams = [
            datagram
            for flow in flows
            for datagram in (flow.request(), flow.reply())
        ] * PACKET_ROUNDS
        before_s = self.subject.processor_s()
        carried, elapsed_s = self._time(datagrams)
        return (
            len(carried),
            elapsed_s,
            self.subject.processor_s() - before_s,
        )

    def delays_s(self, flow: traffic.Flow) -> list[float]:
        """Returns round trips through the host less those without it."""
        datagram = flow.request()
        through = [self._round_trip_s(datagram) for _ in range(DELAY_PACKETS)]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as direct:
            direct.bind(("127.0.0.1", 0))
            base = statistics.median(
                _direct_s(direct, datagram) for _ in range(DELAY_PACKETS)
            )
        return [delay_s - base for delay_s in through]

    def _round_trip_s(self, datagram: bytes) -> float:
        """Returns the seconds until one datagram comes back."""
        start_s = time.perf_counter()
        self.subject.exchange([datagram])
        return time.perf_counter() - start_s

    def _time(self, datagrams: list[bytes]) -> tuple[list[bytes], float]:
        """Returns what came back and the seconds it took."""
        start_s = time.perf_counter()
        carried = self.subject.exchange(datagrams)
        elapsed_s = time.perf_counter() - start_s
        self.lost += len(datagrams) - len(carried)
        return carried, elapsed_s


def run(runs: int, targets: int) -> Results:
    """Returns the figures of a fresh entry process.

    Args:
        runs: Number of runs for each median.
        targets: Number of targets of the service.
    """
    with tempfile.TemporaryDirectory() as folder:
        subject = subject_lib.Subject(pathlib.Path(folder), targets)
        try:
            return _measure(Bench(subject), runs, targets)
        finally:
            subject.close()


def _measure(bench: Bench, runs: int, targets: int) -> Results:
    """Runs all measurements on one process."""
    idle = bench.subject.resident_bytes()
    rates, packet_rates, costs = [], [], []
    flows: list[traffic.Flow] = []
    for _ in range(runs):
        flows, elapsed_s = bench.open_flows(FLOWS_PER_RUN)
        rates.append(len(flows) / elapsed_s)
        carried, elapsed_s, processor_s = bench.carry(flows)
        packet_rates.append(carried / elapsed_s)
        costs.append(processor_s / carried * US_PER_S)
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
        resident_bytes_loaded=bench.subject.resident_bytes(),
        flows_loaded=bench.subject.flows(),
        added_delay_p50_us=round(statistics.median(delays) * US_PER_S, 1),
        added_delay_p99_us=round(cuts[-1] * US_PER_S, 1),
    )


def _targets_by_flow(carried: list[bytes]) -> dict[tuple[bytes, int], bytes]:
    """Returns the target that each caller address and port was given."""
    found = {}
    for data in carried:
        datagram = geneve.decapsulate(data)
        assert isinstance(datagram, geneve.Decapsulated)
        packet = ip.parse(datagram.packet)
        assert isinstance(packet, ip.Packet)
        found[packet.source, packet.source_port] = packet.destination
    return found


def _direct_s(direct: socket.socket, datagram: bytes) -> float:
    """Returns the seconds that a datagram takes to the own socket."""
    start_s = time.perf_counter()
    direct.sendto(datagram, direct.getsockname())
    direct.recv(subject_lib.RECEIVE_BYTES)
    return time.perf_counter() - start_s
