"""Owner and backups of each flow."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import testtools

from tamarack_core import peers
from tamarack_core.internal.balancing import owner_group
from tamarack_core.internal.flows import ownership

SERVICES = ("agenda", "informe", "feeds")
KEYS = tuple(number.to_bytes(4, "big") for number in range(40))


def peer(number):
    """Returns the peer with a number."""
    endpoint = peers.Endpoint(f"10.0.0.{number + 1}", 7000)
    return peers.Peer(f"host-{number}", "a", endpoint, endpoint)


class OwnershipTest(testtools.TestCase):
    """Order in which the members own or back up a flow."""

    def setUp(self):
        super().setUp()
        self.owners = ownership.Ownership()

    @settings(derandomize=True)
    @given(st.lists(st.sets(st.integers(0, 11)), min_size=1, max_size=6))
    def test_a_change_of_members_gives_the_orders_of_a_new_start(self, views):
        changed = ownership.Ownership()
        for view in views:
            members = [peer(number) for number in sorted(view)]
            changed.set_members(members)
            fresh = ownership.Ownership()
            fresh.set_members(members)
            for service in SERVICES:
                for key in KEYS[:5]:
                    self.assertEqual(
                        fresh.order(service, 2, key),
                        changed.order(service, 2, key),
                    )

    def test_the_owners_of_a_service_are_the_group_that_knows_its_load(self):
        members = [peer(number) for number in range(9)]
        self.owners.set_members(members)
        for service in SERVICES:
            group = owner_group.members(service, members, 2)
            found = {self.owners.order(service, 2, key)[0] for key in KEYS}
            self.assertEqual(set(group), found)

    def test_the_host_that_takes_over_a_flow_was_its_backup(self):
        members = [peer(number) for number in range(9)]
        for service in SERVICES:
            for key in KEYS:
                self.owners.set_members(members)
                owner, *backups = self.owners.order(service, 2, key)
                rest = [member for member in members if member != owner]
                self.owners.set_members(rest)
                self.assertIn(self.owners.order(service, 2, key)[0], backups)
