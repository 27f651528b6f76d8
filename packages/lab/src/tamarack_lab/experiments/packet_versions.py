"""Complete entry hosts of tamarackford and of the naive version."""

from collections.abc import Callable

from tamarack_core import assembly
from tamarack_core import context as context_lib
from tamarack_core import peers
from tamarack_core import reducer
from tamarack_core.internal.distribution import configuration_distributor
from tamarack_core.internal.distribution import configuration_store
from tamarack_core.internal.targets import announcement_validator
from tamarack_core.internal.targets import lease_aggregator
from tamarack_core.internal.targets import lease_table
from tamarack_lab.naive import chooser as naive_chooser
from tamarack_lab.naive import data_path as naive_data_path

Build = Callable[
    [peers.Peer, tuple[peers.Peer, ...], int],
    reducer.Node,
]


def build_tamarackford(
    peer: peers.Peer, others: tuple[peers.Peer, ...], seed: int
) -> reducer.Node:
    """Returns an entry host that is assembled as in the daemon."""
    roles = frozenset({assembly.Role.ENTRY})
    return assembly.assemble(assembly.Plan(peer, roles, seed, others))


def build_naive(
    peer: peers.Peer, others: tuple[peers.Peer, ...], seed: int
) -> reducer.Node:
    """Returns an entry host of the naive version."""
    context = context_lib.Context(peer, seed)
    config_store = configuration_store.ConfigurationStore()
    targets = lease_table.TargetLeaseTable()
    leases = lease_aggregator.LeaseAggregator(context, targets, lambda: others)
    chooser = naive_chooser.NaiveChooser(targets, len(others) + 1)
    return reducer.Node(
        context,
        (
            configuration_distributor.ConfigurationDistributor(
                context, config_store, (), ()
            ),
            leases,
            announcement_validator.AnnouncementValidator(
                context, config_store, leases
            ),
            naive_data_path.NaiveDataPath(config_store, chooser),
        ),
    )
