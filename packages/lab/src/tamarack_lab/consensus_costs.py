"""Measures the costs of the replicated log on a simulated network.

Messages and bytes are counted exactly from the effects. Times between hosts
are simulated; processor time is that of this process.
"""

import json
import pathlib
import random
import statistics
import time

import click
import msgspec

from tamarack_core import effects
from tamarack_core import messages
from tamarack_core import timeline
from tamarack_core.internal.consensus import outputs
from tamarack_lab.internal import replica_network

VOTER_COUNTS = (3, 5, 7)
SETTLE_S = 10.0
IDLE_S = 600.0
COMMANDS = 1000
COMMAND_BYTES = 300
# 0.8 patches per second, which is 69,000 changes per day.
COMMAND_INTERVAL_S = 1.25
BURST_COMMANDS = 20
ISOLATION_S = 600.0
RETURN_S = 60.0
ELECTIONS = 40
ELECTION_STEP_S = 0.01
ELECTION_LIMIT_S = 60.0


class CommandCosts(msgspec.Struct, frozen=True):
    """Costs of one command above those of an idle log.

    Attributes:
        messages: Messages sent by all hosts.
        leader_bytes: Bytes sent by the leader.
        writes: Synced writes of all hosts.
        commit_p50_ms: Median simulated time from proposal to commit, in ms.
    """

    messages: float
    leader_bytes: float
    writes: float
    commit_p50_ms: float


class Costs(msgspec.Struct, frozen=True):
    """Costs of a log with a given number of voters.

    Attributes:
        voters: Number of voters.
        idle_messages_s: Messages per second sent by all hosts when idle.
        idle_leader_bytes_s: Bytes per second sent by the leader when idle.
        idle_follower_bytes_s: Mean bytes per second sent by a follower when
            idle.
        steady: Costs of a command at a steady rate.
        burst: Costs of a command in a burst.
        cpu_us: Processor time per command and replica in microseconds,
            including that of the simulated network.
        election_p50_s: Median simulated time from the crash of the leader to
            the election of the next, in seconds.
        election_max_s: Longest such time.
        return_terms: Terms started when a follower returns from isolation.
        return_commit_max_ms: Longest time from proposal to commit while it
            returns, simulated, in ms.
    """

    voters: int
    idle_messages_s: float
    idle_leader_bytes_s: float
    idle_follower_bytes_s: float
    steady: CommandCosts
    burst: CommandCosts
    cpu_us: float
    election_p50_s: float
    election_max_s: float
    return_terms: int
    return_commit_max_ms: float


class EffectCounter:
    """Counts the effects of all hosts of a simulated network.

    Attributes:
        network: The observed network.
        messages: Messages sent by all hosts.
        bytes_by_host: Bytes sent by host, with one envelope per message.
        writes: Synced writes of all hosts.
        applied_s: Times at which the leader applied a command.
    """

    __slots__ = (
        "applied_s",
        "bytes_by_host",
        "messages",
        "network",
        "writes",
    )

    def __init__(self, network: replica_network.ReplicaNetwork) -> None:
        """Initializes the counter and registers it as the observer."""
        self.network = network
        self.reset()
        network.observer = self.observe

    def reset(self) -> None:
        """Sets all counts to zero."""
        self.messages = 0
        self.writes = 0
        self.bytes_by_host = dict.fromkeys(self.network.hosts, 0)
        self.applied_s: list[float] = []

    def observe(
        self, host: replica_network.ReplicaHost, step: outputs.Step
    ) -> None:
        """Counts the effects of one step."""
        for effect in step.effects:
            if isinstance(effect, effects.SendMessage):
                self.messages += 1
                self._count_bytes(host, effect)
            elif isinstance(effect, effects.Persist | effects.SaveSnapshot):
                self.writes += 1
        if host.replica.state.is_leader:
            self.applied_s += [
                self.network.now_s
                for output in step.outputs
                if isinstance(output, outputs.Applied)
            ]

    def _count_bytes(
        self, host: replica_network.ReplicaHost, effect: effects.SendMessage
    ) -> None:
        stamp = timeline.Stamp(time.time_ns() // 1_000_000, 0)
        envelope = messages.Envelope(host.peer, stamp, (effect.message,))
        size_bytes = len(messages.encode(envelope))
        self.bytes_by_host[host.peer.host] += size_bytes


def _start_network(seed: int, voters: int) -> replica_network.ReplicaNetwork:
    network = replica_network.ReplicaNetwork(seed, voters)
    network.start()
    network.run_for(SETTLE_S)
    return network


def _require_leader(
    network: replica_network.ReplicaNetwork,
) -> replica_network.ReplicaHost:
    leader = network.leader()
    if leader is None:
        raise click.ClickException("no leader was elected")
    return leader


def _propose(network: replica_network.ReplicaNetwork, count: int) -> None:
    leader = _require_leader(network)
    generator = random.Random(network.now_s)
    for _ in range(count):
        command = generator.randbytes(COMMAND_BYTES)
        result = leader.replica.propose(network.now_s, command)
        if not isinstance(result, outputs.Proposal):
            raise click.ClickException(f"proposal refused: {result}")
        network.carry_out(leader, result.step)


def _run_commands(
    network: replica_network.ReplicaNetwork, burst: int
) -> list[float]:
    """Proposes all commands in bursts and returns the times of proposal."""
    proposed_s: list[float] = []
    for _ in range(COMMANDS // burst):
        proposed_s += [network.now_s] * burst
        _propose(network, burst)
        network.run_for(COMMAND_INTERVAL_S * burst)
    return proposed_s


def _command_costs(
    counter: EffectCounter,
    burst: int,
    idle_messages_per_s: float,
    idle_bytes_per_s: float,
) -> CommandCosts:
    counter.reset()
    leader = _require_leader(counter.network).peer.host
    duration_s = COMMANDS * COMMAND_INTERVAL_S
    proposed_s = _run_commands(counter.network, burst)
    times_s = zip(proposed_s, counter.applied_s, strict=True)
    leader_bytes = counter.bytes_by_host[leader] - idle_bytes_per_s * duration_s
    return CommandCosts(
        (counter.messages - idle_messages_per_s * duration_s) / COMMANDS,
        leader_bytes / COMMANDS,
        counter.writes / COMMANDS,
        statistics.median((end - start) * 1000 for start, end in times_s),
    )


def _measure(voters: int, seed: int) -> Costs:
    network = _start_network(seed, voters)
    counter = EffectCounter(network)
    leader = _require_leader(network).peer.host
    network.run_for(IDLE_S)
    messages_per_s = counter.messages / IDLE_S
    bytes_per_s = {
        host: n / IDLE_S for host, n in counter.bytes_by_host.items()
    }
    steady, burst = (
        _command_costs(counter, size, messages_per_s, bytes_per_s[leader])
        for size in (1, BURST_COMMANDS)
    )
    elections_s = [_election_s(voters, seed + i) for i in range(ELECTIONS)]
    return_terms, return_commit_max_ms = _measure_follower_return(voters, seed)
    followers = [size for host, size in bytes_per_s.items() if host != leader]
    return Costs(
        voters,
        messages_per_s,
        bytes_per_s[leader],
        statistics.mean(followers),
        steady,
        burst,
        _cpu_us(voters, seed),
        statistics.median(elections_s),
        max(elections_s),
        return_terms,
        return_commit_max_ms,
    )


def _measure_follower_return(voters: int, seed: int) -> tuple[int, float]:
    """Measures the return of a follower after a long isolation.

    Returns:
        The number of terms started, and the longest time from proposal to
        commit in ms.
    """
    network = _start_network(seed, voters)
    counter = EffectCounter(network)
    leader = _require_leader(network)
    term = leader.replica.state.term
    isolated = next(
        host for host in network.hosts.values() if host is not leader
    )
    network.isolate(isolated.peer.host)
    _propose_for(network, ISOLATION_S)
    network.cuts.clear()
    counter.reset()
    proposed_s = _propose_for(network, RETURN_S)
    times_s = zip(proposed_s, counter.applied_s, strict=True)
    longest_s = max(end - start for start, end in times_s)
    new_terms = _require_leader(network).replica.state.term - term
    return new_terms, longest_s * 1000


def _propose_for(
    network: replica_network.ReplicaNetwork, duration_s: float
) -> list[float]:
    """Proposes commands at the steady rate and returns the proposal times."""
    proposed_s: list[float] = []
    for _ in range(int(duration_s / COMMAND_INTERVAL_S)):
        proposed_s.append(network.now_s)
        _propose(network, 1)
        network.run_for(COMMAND_INTERVAL_S)
    return proposed_s


def _cpu_us(voters: int, seed: int) -> float:
    network = _start_network(seed, voters)
    start_s = time.process_time()
    for _ in range(COMMANDS):
        _propose(network, 1)
        network.run_for(0.1)
    spent_s = time.process_time() - start_s
    return spent_s / COMMANDS / voters * 1_000_000


def _election_s(voters: int, seed: int) -> float:
    network = _start_network(seed, voters)
    old = _require_leader(network)
    start_s = network.now_s
    network.crash(old.peer.host)
    while network.leader() is None:
        network.run_for(ELECTION_STEP_S)
        if network.now_s - start_s > ELECTION_LIMIT_S:
            raise click.ClickException(f"no leader elected with seed {seed}")
    return network.now_s - start_s


@click.command("consensus-costs")
@click.option("--seed", default=1, show_default=True)
@click.option("--output", type=click.Path(path_type=pathlib.Path))
def consensus_costs(seed: int, output: pathlib.Path | None) -> None:
    """Measures messages, bytes and latencies of the replicated log."""
    rows = [_measure(voters, seed) for voters in VOTER_COUNTS]
    encoded = json.dumps(msgspec.to_builtins(rows), indent=1)
    click.echo(encoded)
    if output is not None:
        output.parent.mkdir(parents=True, exist_ok=True)
        output.write_text(encoded + "\n")
