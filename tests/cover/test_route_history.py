"""Route updates for hosts that hold an earlier document."""

import hypothesis
from hypothesis import strategies
import testtools

from tamarack_core import documents
from tamarack_core.internal.cookie import routes as routes_lib
from tamarack_core.internal.documents import state_machine as machines
from tamarack_core.internal.registry import route_history as histories
from tests import group_network


def places(table):
    """Returns the ports of the routes in the table of an entry host."""
    return {place[1] for place in table.by_endpoint}


class RouteHistoryTest(testtools.TestCase):
    """An update gives every subscriber the routes of the latest document."""

    def test_a_route_added_and_removed_before_a_snapshot_is_removed(self):
        # A control host that lost its disk applies document 4 and then a
        # snapshot with document 25. An entry host holds document 13, with a
        # route that the control host never saw. The update must remove it.
        stays = group_network.route("stays", 443)
        history = histories.RouteHistory()
        history.put(group_network.document(4, stays))
        history.reset_to(group_network.document(25, stays))
        table = routes_lib.RouteTable()
        passing = group_network.route("passing", 80)
        other = histories.RouteHistory()
        other.put(group_network.document(13, stays, passing))
        table.put(1.0, other.changes_since(0))
        self.assertEqual({80, 443}, places(table))
        table.put(2.0, history.changes_since(13))
        self.assertEqual(25, table.number)
        self.assertEqual({443}, places(table))

    @hypothesis.settings(deadline=None, max_examples=60)
    @hypothesis.given(
        steps=strategies.lists(
            strategies.frozensets(strategies.integers(1, 6), min_size=1),
            min_size=2,
            max_size=8,
        ),
        held=strategies.integers(0, 8),
        restored=strategies.integers(0, 7),
    )
    def test_any_holder_ends_with_the_routes_in_force(
        self, steps, held, restored
    ):
        versions = [
            group_network.document(
                number,
                *(group_network.route(f"r{port}", port) for port in ports),
            )
            for number, ports in enumerate(steps, start=1)
        ]
        # The sender begins with some document, jumps once, then follows.
        sender = machines.DocumentStateMachine()
        history = histories.RouteHistory()
        first = machines.DocumentStateMachine()
        for index, document in enumerate(versions):
            change = documents.difference(first.document, document)
            first.apply(index, machines.encode(change))
            if index == restored:
                sender.restore(first.snapshot())
            elif index > restored or index == 0:
                sender.apply(index, machines.encode(change))
            sender.flush_to(history)
        held = min(held, len(versions))
        table = routes_lib.RouteTable()
        holder = histories.RouteHistory()
        if held:
            holder.put(versions[held - 1])
            table.put(1.0, holder.changes_since(0))
        update = history.changes_since(table.number)
        if update is not None:
            table.put(2.0, update)
        newest = max(history.document.number, held)
        if newest:
            self.assertEqual(set(steps[newest - 1]), places(table))
