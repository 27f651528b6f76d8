"""A fake network of replicas in one process, with seeded faults.

Time is that of the queue of events; a run with one seed repeats exactly.
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
    """Chances and delays of the network and the disks.

    Attributes:
        loss: Chance that a message is lost.
        duplication: Chance that a message arrives twice.
        straggling: Chance that a message is delayed by up to
            `straggle_max_s`, so that later ones overtake it.
        straggle_max_s: Upper bound of that delay in seconds.
        delay_min_s: Lower bound of the ordinary delay in seconds.
        delay_max_s: Upper bound of the ordinary delay in seconds.
        sync_min_s: Lower bound of the time of a disk write in seconds.
        sync_max_s: Upper bound of the time of a disk write in seconds.
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
    """Disk of one incarnation.

    Attributes:
        snapshot: Data of the last synced snapshot.
        records: Records synced after it.
        running: Writes that are not synced, oldest first.
    """

    __slots__ = ("records", "running", "snapshot")

    def __init__(self) -> None:
        """Creates an empty disk."""
        self.snapshot: bytes | None = None
        self.records: list[bytes] = []
        self.running: list[effects.Persist | effects.SaveSnapshot] = []

    def sync_next(self) -> int:
        """Syncs the oldest running write and returns its sequence."""
        write = self.running.pop(0)
        if isinstance(write, effects.SaveSnapshot):
            self.snapshot = write.data
            self.records = list(write.records)
        else:
            self.records.extend(write.records)
        return write.sequence

    def crash(self, generator: random.Random) -> None:
        """Loses what is not synced, or only the end of it.

        Args:
            generator: Decides how much reached the disk all the same.
        """
        for _ in range(generator.randint(0, len(self.running))):
            self.sync_next()
        if self.running and isinstance(self.running[0], effects.Persist):
            torn = self.running[0].records
            self.records.extend(torn[: generator.randint(0, len(torn))])
        self.running.clear()


class CommandLog:
    """The naive state machine: all commands ever applied, in order.

    Attributes:
        commands: The commands.
    """

    __slots__ = ("commands",)

    def __init__(self) -> None:
        """Creates an empty register."""
        self.commands: list[bytes] = []

    def apply(self, index: int, command: bytes) -> None:
        """Appends a command."""
        self.commands.append(command)

    def snapshot(self) -> bytes:
        """Returns all commands."""
        return b"\n".join(self.commands)

    def restore(self, data: bytes) -> None:
        """Replaces the commands."""
        self.commands = data.split(b"\n") if data else []


@dataclasses.dataclass(slots=True)
class ReplicaHost:
    """One host with at most one running replica.

    Attributes:
        peer: Identity and address.
        incarnation: Incarnation of its data folder.
        disk: Its disk.
        state_machine: State machine of the running or last replica.
        replica: The running or last replica.
        is_up: Whether the replica runs.
        starts: Number of starts; events of earlier ones are dropped.
        initial: Membership before the first entry.
        timers: Number of timers set; only the last one fires.
    """

    peer: peers.Peer
    incarnation: str
    disk: SimulatedDisk
    state_machine: CommandLog
    replica: replica.Replica
    initial: Sequence[membership.Member]
    is_up: bool = True
    starts: int = 1
    timers: int = 0


def _ignore(host: ReplicaHost, step: outputs.Step) -> None:
    """Stands in for an observer where none is wanted."""


class ReplicaNetwork:
    """Hosts, the messages between them, and their disks.

    Attributes:
        now_s: Time of the last event in seconds.
        random: Seeded generator of all faults.
        faults: Chances and delays.
        parameters: Times and sizes of the replicas.
        hosts: The hosts by name.
        cuts: Pairs of sender and receiver between which all is lost.
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
        """Creates hosts that have not started.

        Args:
            seed: Seed of all chance, that of the replicas included.
            voters: Number of initial voters.
            spares: Number of hosts that are no members yet.
            faults: Chances and delays; none by default.
            parameters: Times and sizes of the replicas.
        """
        self.now_s = 0.0
        self.random = random.Random(seed)
        self.faults = faults or Faults()
        self.parameters = parameters or log_parameters.LogParameters()
        self.cuts: set[tuple[str, str]] = set()
        self.observer: Callable[[ReplicaHost, outputs.Step], None] = _ignore
        self._counter = itertools.count()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        members = [_member(number) for number in range(voters + spares)]
        initial = members[:voters]
        self.hosts = {
            member.peer.host: self._create(
                member, initial if i < voters else []
            )
            for i, member in enumerate(members)
        }

    def _create(
        self,
        own: membership.Member,
        initial: Sequence[membership.Member],
    ) -> ReplicaHost:
        state_machine = CommandLog()
        created = self._replica(own, initial, state_machine)
        return ReplicaHost(
            own.peer,
            own.incarnation,
            SimulatedDisk(),
            state_machine,
            created,
            initial,
        )

    def _replica(
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
        """Ends a replica; what is not synced may be lost."""
        host = self.hosts[name]
        host.is_up = False
        host.starts += 1
        host.timers += 1
        host.disk.crash(self.random)

    def restart(self, name: str) -> failure.Failure | None:
        """Starts a crashed replica from its disk."""
        host = self.hosts[name]
        own = membership.Member(host.peer, host.incarnation)
        host.state_machine = CommandLog()
        host.replica = self._replica(own, host.initial, host.state_machine)
        refused = host.replica.recover(host.disk.snapshot, host.disk.records)
        if refused is None:
            host.is_up = True
            self.carry_out(host, host.replica.start(self.now_s))
        return refused

    def replace_disk(self, name: str) -> None:
        """Gives a crashed host an empty disk and a new incarnation."""
        host = self.hosts[name]
        host.incarnation = f"{host.peer.host}.{host.starts}"
        host.disk = SimulatedDisk()
        host.initial = []

    def carry_out(self, host: ReplicaHost, step: outputs.Step) -> None:
        """Queues the effects of a step, then calls the observer."""
        for effect in step.effects:
            match effect:
                case effects.SendMessage():
                    self._send(host, effect)
                case effects.StartTimer():
                    self._start_timer(host, effect.delay_s)
                case effects.Persist() | effects.SaveSnapshot():
                    self._write(host, effect)
        self.observer(host, step)

    def _at(self, delay_s: float, action: Callable[[], None]) -> None:
        entry = (self.now_s + delay_s, next(self._counter), action)
        heapq.heappush(self._queue, entry)

    def _send(self, host: ReplicaHost, effect: effects.SendMessage) -> None:
        copies = 1 + (self.random.random() < self.faults.duplication)
        for _ in range(copies):
            if self.random.random() < self.faults.loss:
                continue
            self._at(
                self._delay_s(),
                lambda: self._deliver(host.peer, effect),
            )

    def _delay_s(self) -> float:
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
        host.timers += 1
        number = host.timers

        def fire() -> None:
            if host.timers == number and host.is_up:
                step = host.replica.handle_timer(self.now_s)
                self.carry_out(host, step)

        self._at(delay_s, fire)

    def _write(
        self, host: ReplicaHost, effect: effects.Persist | effects.SaveSnapshot
    ) -> None:
        host.disk.running.append(effect)
        starts = host.starts

        def complete() -> None:
            if host.starts != starts or not host.is_up:
                return
            sequence = host.disk.sync_next()
            step = host.replica.handle_write_completed(self.now_s, sequence)
            self.carry_out(host, step)

        delay_s = self.random.uniform(
            self.faults.sync_min_s, self.faults.sync_max_s
        )
        self._at(delay_s, complete)

    def run_event(self) -> bool:
        """Runs the next event; returns False when there is none."""
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
        """Returns the leader of the highest term among running hosts."""
        leaders = [
            host
            for host in self.hosts.values()
            if host.is_up and host.replica.state.is_leader
        ]
        return max(
            leaders, key=lambda host: host.replica.state.term, default=None
        )

    def isolate(self, name: str) -> None:
        """Cuts a host off in both directions."""
        others = [other for other in self.hosts if other != name]
        self.cuts.update((name, other) for other in others)
        self.cuts.update((other, name) for other in others)


def _member(number: int) -> membership.Member:
    name = f"control-{number}"
    endpoint = peers.Endpoint(f"127.0.1.{number + 1}", CONTROL_PORT)
    peer = peers.Peer(name, f"domain-{number}", endpoint)
    return membership.Member(peer, f"{name}.0")
