"""Address and port lookup of the data path."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import testtools

from tamarack_core import configuration
from tamarack_core.internal.entry import lookup
from tamarack_core.packets import ip

NAMES = ("agenda", "informe", "feeds")


def service(number, length):
    """Returns a service; no two numbers share an address."""
    return configuration.Service(
        addresses=(f"10.9.0.{number}",),
        target_networks=(f"10.{number}.0.0/{length}",),
        classes={
            "routes": configuration.WorkClass(port=80, target_port=8080),
            "reports": configuration.WorkClass(port=81, target_port=8081),
        },
    )


def tables(table):
    """Returns the names behind each key of the tables."""
    ports = {
        key: (port.service, port.work_class)
        for key, port in table.inbound.items()
    }
    replies = {key: port.work_class for key, port in table.outbound.items()}
    return ports, replies, table.networks


class LookupTest(testtools.TestCase):
    """Incremental changes give the same tables as a full rebuild."""

    @settings(derandomize=True)
    @given(st.data())
    def test_changes_give_the_same_tables_as_a_new_start(self, data):
        changed = lookup.Lookup(configuration.Configuration())
        documents = {}
        for _ in range(data.draw(st.integers(1, 6))):
            numbers = data.draw(st.permutations(range(1, 4)))
            changes = {
                name: data.draw(
                    st.sampled_from(
                        (None, service(number, 16), service(number, 24))
                    )
                )
                for name, number in zip(NAMES, numbers, strict=True)
            }
            changed.apply(changes)
            documents.update(changes)
            present = {name: doc for name, doc in documents.items() if doc}
            new = lookup.Lookup(configuration.Configuration(present))
            self.assertEqual(tables(new), tables(changed))

    def test_a_target_belongs_to_the_service_whose_network_holds_it(self):
        table = lookup.Lookup(
            configuration.Configuration(
                {"agenda": service(1, 16), "informe": service(2, 24)}
            )
        )
        names = [
            table.find_service(ip.pack_address(address))
            for address in ("10.1.255.7", "10.2.0.9", "10.2.1.9", "::1")
        ]
        self.assertEqual(["agenda", "informe", "", ""], names)
