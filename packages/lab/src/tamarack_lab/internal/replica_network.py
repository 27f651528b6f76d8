"""Simulated network of replicas in one process, with seeded faults.

The queue of events provides the time, so runs with the same seed are
identical.
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import heapq
import itertools
import random

from tamarack_core import effects
from tamarack_core import failure
from tamarack_core import peers
from tamarack_core.internal.consensus import log_parameters
from tamarack_core.internal.consensus import membership
from tamarack_core.internal.consensus import outputs
from tamarack_core.internal.consensus import replica
from tamarack_core.messages import consensus

CONTROL_PORT = 7000


@dataclasses.dataclass(slots=True)
class Faults:
    """Fault probabilities and delays of the network and the disks.

    Attributes:
        loss: Probability that a message is lost.
        duplication: Probability that a message is sent twice.
        straggling: Probability that a message is delayed by up to
            `straggle_max_s`, so that later ones may overtake it.
        straggle_max_s: Upper bound of that delay in seconds.
        delay_min_s: Lower bound of the normal delay in seconds.
        delay_max_s: Upper bound of the normal delay in seconds.
        sync_min_s: Lower bound of the duration of a disk write in seconds.
        sync_max_s: Upper bound of the duration of a disk write in seconds.
    """

    loss: float = 0.0
    duplication: float = 0.0
    straggling: float = 0.0
    straggle_max_s: float = 5.0
    delay_min_s: float = 0.003
    delay_max_s: float = 0.007
    sync_min_s: float = 0.001
    sync_max_s: float = 0.004


class SimulatedDisk:
    """Simulated disk of one incarnation of a host.

    Attributes:
        snapshot: Data of the last synced snapshot; None without any.
        records: Records that were synced after the snapshot.
        pending_writes: Writes that are not yet synced, oldest first.
    """

    __slots__ = ("pending_writes", "records", "snapshot")

    def __init__(self) -> None:
        """Initializes an empty disk."""
        self.snapshot: bytes | None = None
        self.records: list[bytes] = []
        self.pending_writes: list[effects.Persist | effects.SaveSnapshot] = []

    def sync_next(self) -> int:
        """Syncs the oldest pending write and returns its sequence number."""
        write = self.pending_writes.pop(0)
        if isinstance(write, effects.SaveSnapshot):
            self.snapshot = write.data
            self.records = list(write.records)
        else:
            self.records.extend(write.records)
        return write.sequence

    def crash(self, generator: random.Random) -> None:
        """Discards the pending writes, or only a random tail of them.

        The first discarded write may be torn: some of its records stay.

        Args:
            generator: Draws how many writes and records reached the disk.
        """
        for _ in range(generator.randint(0, len(self.pending_writes))):
            self.sync_next()
        if self.pending_writes and isinstance(
            self.pending_writes[0], effects.Persist
        ):
            torn = self.pending_writes[0].records
            self.records.extend(torn[: generator.randint(0, len(torn))])
        self.pending_writes.clear()


class CommandLog:
    """State machine that keeps all applied commands in order.

    Attributes:
        commands: Applied commands, oldest first.
    """

    __slots__ = ("commands",)

    def __init__(self) -> None:
        """Initializes the state machine without commands."""
        self.commands: list[bytes] = []

    def apply(self, index: int, command: bytes) -> None:
        """Appends a command; the index isn't used."""
        self.commands.append(command)

    def snapshot(self) -> bytes:
        """Returns all commands, joined by newlines."""
        return b"\n".join(self.commands)

    def restore(self, data: bytes) -> None:
        """Replaces the commands by those of a snapshot."""
        self.commands = data.split(b"\n") if data else []


@dataclasses.dataclass(slots=True)
class ReplicaHost:
    """Host with at most one running replica.

    Attributes:
        peer: Identity and address.
        incarnation: Incarnation of its data folder.
        disk: Disk of this incarnation.
        state_machine: State machine of the running or last replica.
        replica: The running or last replica.
        is_up: Whether the replica is running.
        start_number: Start number; a crash increments it, so that writes of
            earlier starts are dropped.
        initial_members: Membership before the first log entry.
        timer_number: Timer number, incremented by each new timer and each
            crash; only the timer with the current number fires.
    """

    peer: peers.Peer
    incarnation: str
    disk: SimulatedDisk
    state_machine: CommandLog
    replica: replica.Replica
    initial_members: Sequence[membership.Member]
    is_up: bool = True
    start_number: int = 1
    timer_number: int = 0


def _ignore_step(host: ReplicaHost, step: outputs.Step) -> None:
    """Default observer, which does nothing."""


class ReplicaNetwork:
    """Simulated hosts, their disks and the messages between them.

    Attributes:
        now_s: Time of the last event in seconds.
        random: Seeded random generator of all faults.
        faults: Fault probabilities and delays.
        parameters: Times and sizes of the replicas.
        hosts: Hosts by name.
        cuts: Pairs of sender and receiver whose messages are lost.
        observer: Called after each step of a replica.
    """

    __slots__ = (
        "_counter",
        "_queue",
        "cuts",
        "faults",
        "hosts",
        "now_s",
        "observer",
        "parameters",
        "random",
    )

    def __init__(
        self,
        seed: int,
        voters: int,
        spares: int = 0,
        faults: Faults | None = None,
        parameters: log_parameters.LogParameters | None = None,
    ) -> None:
        """Initializes the network and its hosts without starting them.

        Args:
            seed: Seed of all random generators, including the replicas'.
            voters: Number of initial voters.
            spares: Number of hosts that are not yet members.
            faults: Fault probabilities and delays; without loss,
                duplication and stragglers by default.
            parameters: Times and sizes of the replicas.
        """
        self.now_s = 0.0
        self.random = random.Random(seed)
        self.faults = faults or Faults()
        self.parameters = parameters or log_parameters.LogParameters()
        self.cuts: set[tuple[str, str]] = set()
        self.observer: Callable[[ReplicaHost, outputs.Step], None] = (
            _ignore_step
        )
        self._counter = itertools.count()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        members = [_member(number) for number in range(voters + spares)]
        initial = members[:voters]
        self.hosts = {
            member.peer.host: self._create_host(
                member, initial if i < voters else []
            )
            for i, member in enumerate(members)
        }

    def _create_host(
        self,
        own: membership.Member,
        initial: Sequence[membership.Member],
    ) -> ReplicaHost:
        state_machine = CommandLog()
        created = self._create_replica(own, initial, state_machine)
        return ReplicaHost(
            own.peer,
            own.incarnation,
            SimulatedDisk(),
            state_machine,
            created,
            initial,
        )

    def _create_replica(
        self,
        own: membership.Member,
        initial: Sequence[membership.Member],
        state_machine: CommandLog,
    ) -> replica.Replica:
        generator = random.Random(self.random.getrandbits(64))
        return replica.Replica(
            own, initial, generator, state_machine, self.parameters
        )

    def start(self) -> None:
        """Starts all hosts."""
        for host in self.hosts.values():
            self.carry_out(host, host.replica.start(self.now_s))

    def crash(self, name: str) -> None:
        """Stops a replica; writes that are not synced may be lost."""
        host = self.hosts[name]
        host.is_up = False
        host.start_number += 1
        host.timer_number += 1
        host.disk.crash(self.random)

    def restart(self, name: str) -> failure.Failure | None:
        """Restarts a crashed replica from its disk.

        Returns:
            The failure if the replica can't recover; it then stays stopped.
        """
        host = self.hosts[name]
        own = membership.Member(host.peer, host.incarnation)
        host.state_machine = CommandLog()
        host.replica = self._create_replica(
            own, host.initial_members, host.state_machine
        )
        recovery_failure = host.replica.recover(
            host.disk.snapshot, host.disk.records
        )
        if recovery_failure is None:
            host.is_up = True
            self.carry_out(host, host.replica.start(self.now_s))
        return recovery_failure

    def replace_disk(self, name: str) -> None:
        """Gives a crashed host an empty disk and a new incarnation."""
        host = self.hosts[name]
        host.incarnation = f"{host.peer.host}.{host.start_number}"
        host.disk = SimulatedDisk()
        host.initial_members = []

    def carry_out(self, host: ReplicaHost, step: outputs.Step) -> None:
        """Schedules the effects of a step, then calls the observer."""
        for effect in step.effects:
            match effect:
                case effects.SendMessage():
                    self._send(host, effect)
                case effects.StartTimer():
                    self._start_timer(host, effect.delay_s)
                case effects.Persist() | effects.SaveSnapshot():
                    self._write(host, effect)
        self.observer(host, step)

    def _schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        entry = (self.now_s + delay_s, next(self._counter), action)
        heapq.heappush(self._queue, entry)

    def _send(self, host: ReplicaHost, effect: effects.SendMessage) -> None:
        copies = 1 + (self.random.random() < self.faults.duplication)
        for _ in range(copies):
            if self.random.random() < self.faults.loss:
                continue
            self._schedule(
                self._draw_delay_s(),
                lambda: self._deliver(host.peer, effect),
            )

    def _draw_delay_s(self) -> float:
        if self.random.random() < self.faults.straggling:
            return self.random.uniform(0, self.faults.straggle_max_s)
        return self.random.uniform(
            self.faults.delay_min_s, self.faults.delay_max_s
        )

    def _deliver(self, sender: peers.Peer, effect: effects.SendMessage) -> None:
        name = effect.peer.host
        receiver = self.hosts[name]
        if (sender.host, name) in self.cuts or not receiver.is_up:
            return
        if isinstance(effect.message, consensus.Message):
            self.carry_out(
                receiver,
                receiver.replica.handle_message(
                    self.now_s, sender, effect.message
                ),
            )

    def _start_timer(self, host: ReplicaHost, delay_s: float) -> None:
        host.timer_number += 1
        number = host.timer_number

        def fire() -> None:
            if host.timer_number == number and host.is_up:
                step = host.replica.handle_timer(self.now_s)
                self.carry_out(host, step)

        self._schedule(delay_s, fire)

    def _write(
        self, host: ReplicaHost, effect: effects.Persist | effects.SaveSnapshot
    ) -> None:
        host.disk.pending_writes.append(effect)
        starts = host.start_number

        def complete() -> None:
            if host.start_number != starts or not host.is_up:
                return
            sequence = host.disk.sync_next()
            step = host.replica.handle_write_completed(self.now_s, sequence)
            self.carry_out(host, step)

        delay_s = self.random.uniform(
            self.faults.sync_min_s, self.faults.sync_max_s
        )
        self._schedule(delay_s, complete)

    def run_event(self) -> bool:
        """Runs the next event; returns False if there is none."""
        if not self._queue:
            return False
        self.now_s, _, action = heapq.heappop(self._queue)
        action()
        return True

    def run_for(self, duration_s: float) -> None:
        """Runs all events of the next `duration_s` seconds."""
        end_s = self.now_s + duration_s
        while self._queue and self._queue[0][0] <= end_s:
            self.run_event()
        self.now_s = end_s

    def leader(self) -> ReplicaHost | None:
        """Returns the running leader with the highest term, if any."""
        leaders = [
            host
            for host in self.hosts.values()
            if host.is_up and host.replica.state.is_leader
        ]
        return max(
            leaders, key=lambda host: host.replica.state.term, default=None
        )

    def isolate(self, name: str) -> None:
        """Isolates a host in both directions."""
        others = [other for other in self.hosts if other != name]
        self.cuts.update((name, other) for other in others)
        self.cuts.update((other, name) for other in others)


def _member(number: int) -> membership.Member:
    name = f"control-{number}"
    endpoint = peers.Endpoint(f"127.0.1.{number + 1}", CONTROL_PORT)
    peer = peers.Peer(name, f"domain-{number}", endpoint)
    return membership.Member(peer, f"{name}.0")
