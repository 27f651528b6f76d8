"""Profile of the data path of the core in one process."""

import cProfile
import io
import pstats

import msgspec

from tamarack_core import assembly
from tamarack_core import configuration
from tamarack_core import events
from tamarack_core import peers
from tamarack_core import reducer
from tamarack_core import requests
from tamarack_core.messages import distribution
from tamarack_lab.bench import entry_process
from tamarack_lab.bench import traffic

FLOWS = 2_000
ROUNDS = 5
LINES = 24
# By then the host, alone in its domain, has stopped waiting for other hosts
# and serves.
NOW_S = 20.0


def run(targets: int) -> str:
    """Returns a report of the functions with the highest internal time.

    Args:
        targets: Number of targets of the service, at most 254.
    """
    node = _create_entry_host(targets)
    datagrams = [flow.opening() for flow in traffic.flows(0, FLOWS)]
    datagrams += [flow.request() for flow in traffic.flows(0, FLOWS)] * ROUNDS
    profiler = cProfile.Profile()
    profiler.enable()
    for datagram in datagrams:
        reducer.reduce(node, events.DatagramArrived(NOW_S, datagram))
    profiler.disable()
    text = io.StringIO()
    pstats.Stats(profiler, stream=text).sort_stats("tottime").print_stats(LINES)
    return text.getvalue()


def _create_entry_host(targets: int) -> reducer.Node:
    """Returns an entry host with one service and announced targets."""
    endpoint = peers.Endpoint("127.0.0.1", 1)
    host = peers.Peer("bench", "bench", endpoint, endpoint)
    roles = frozenset((assembly.Role.ENTRY,))
    node = assembly.assemble(assembly.Plan(host, roles, seed=1))
    reducer.reduce(node, events.Started(0.0, 0))
    document = msgspec.convert(
        {"services": {"agenda": entry_process.SERVICE}},
        configuration.Configuration,
    )
    message = distribution.Snapshot(
        configuration.VersionedConfiguration(1, document)
    )
    reducer.reduce(node, events.MessageArrived(0.0, host, message))
    for number in range(targets):
        announcement = requests.Announce(
            "agenda",
            f"10.1.0.{number + 1}",
            "bench",
            connections=1_000_000,
            lease_s=60.0,
        )
        reducer.reduce(node, events.RequestArrived(0.0, 2, announcement))
    return node
