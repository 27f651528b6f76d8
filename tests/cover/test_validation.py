"""Checks that a configuration must pass before it is accepted."""

import copy

import hypothesis
from hypothesis import strategies
import testtools

from tamarack_core import configuration
from tamarack_core import failure
from tamarack_core.internal.entry import lookup
from tamarack_core.internal.validation import validated_configuration

SERVICE = {
    "addresses": ["192.0.2.1"],
    "classes": {"routes": {"port": 80, "target_port": 8080}},
    "target_networks": ["10.0.0.0/24"],
}


def with_services(**changes):
    """Returns a document with service `one` and another, changed one."""
    other = {
        "addresses": ["192.0.2.2"],
        "classes": {"certificates": {"port": 80, "target_port": 8080}},
        "target_networks": ["10.0.1.0/24"],
    }
    return {"services": {"one": SERVICE, "two": {**other, **changes}}}


def with_class(**changes):
    """Returns a document whose only class is changed."""
    service = copy.deepcopy(SERVICE)
    service["classes"]["routes"].update(changes)
    return {"services": {"one": service}}


REFUSED = [
    ([], ""),
    ({"service": {}}, "/service"),
    ({"services": []}, "/services"),
    ({"services": {"a b": SERVICE}}, "/services/a b"),
    (with_class(prot=80), "/services/one/classes/routes/prot"),
    (with_class(port="80"), "/services/one/classes/routes/port"),
    (with_class(port=0), "/services/one/classes/routes/port"),
    (with_class(port=65536), "/services/one/classes/routes/port"),
    (with_class(port=10**400), "/services/one/classes/routes/port"),
    (with_class(cost=float("nan")), "/services/one/classes/routes/cost"),
    (with_class(cost=float("inf")), "/services/one/classes/routes/cost"),
    (with_class(cost=-1), "/services/one/classes/routes/cost"),
    (with_class(deadline_s=-1), "/services/one/classes/routes/deadline_s"),
    (
        with_class(max_concurrent=-1),
        "/services/one/classes/routes/max_concurrent",
    ),
    (
        with_class(max_opening_rate=-1),
        "/services/one/classes/routes/max_opening_rate",
    ),
    (with_class(lifetime="eternal"), "/services/one/classes/routes/lifetime"),
    (
        with_class(protocol="udp", idempotent=False),
        "/services/one/classes/routes/idempotent",
    ),
    (with_services(adresses=[]), "/services/two/adresses"),
    (with_services(addresses=[]), "/services/two/addresses"),
    (
        with_services(addresses=["192.0.2.2", "192.0.2.3"]),
        "/services/two/addresses/1",
    ),
    (with_services(addresses=["192.0.2.02"]), "/services/two/addresses/0"),
    (with_services(addresses=["224.0.0.1"]), "/services/two/addresses/0"),
    (with_services(addresses=["fe80::1%eth0"]), "/services/two/addresses/0"),
    (
        with_services(addresses=["::ffff:192.0.2.1"]),
        "/services/two/addresses/0",
    ),
    (
        with_services(addresses=["192.0.2.1"]),
        "/services/two/classes/certificates/port",
    ),
    (with_services(addresses=["10.0.0.9"]), "/services/two/addresses/0"),
    (with_services(addresses=["10.0.1.9"]), "/services/two/addresses/0"),
    (
        with_services(target_networks=["192.0.2.0/24"]),
        "/services/two/target_networks/0",
    ),
    (
        with_services(target_networks=["10.0.0.128/25"]),
        "/services/two/target_networks/0",
    ),
    (
        with_services(target_networks=["10.0.0.0/8"]),
        "/services/two/target_networks/0",
    ),
    (
        with_services(target_networks=["10.0.1.0/24", "10.0.1.0/25"]),
        "/services/two/target_networks/1",
    ),
    (
        with_services(target_networks=["10.0.1.1/24"]),
        "/services/two/target_networks/0",
    ),
    (
        with_services(target_networks=["2001:db8::/64"]),
        "/services/two/target_networks/0",
    ),
    (
        with_services(
            classes={
                "a": {"port": 1, "target_port": 2},
                "b": {"port": 1, "target_port": 3},
            }
        ),
        "/services/two/classes/b/port",
    ),
    (
        with_services(
            classes={
                "a": {"port": 1, "target_port": 2},
                "b": {"port": 3, "target_port": 2},
            }
        ),
        "/services/two/classes/b/target_port",
    ),
    (with_services(opening_hosts=0), "/services/two/opening_hosts"),
    (
        with_services(weights={"imbalance": -1}),
        "/services/two/weights/imbalance",
    ),
]

_classes = strategies.fixed_dictionaries(
    {
        "port": strategies.integers(0, 3),
        "target_port": strategies.integers(1, 4),
    },
    optional={
        "protocol": strategies.sampled_from(["tcp", "udp", "sctp"]),
        "idempotent": strategies.booleans(),
        "cost": strategies.floats(-1, 10),
        "deadline_s": strategies.integers(-1, 60),
        "unknown": strategies.none(),
    },
)
_services = strategies.fixed_dictionaries(
    {
        "addresses": strategies.lists(
            strategies.sampled_from(
                ["192.0.2.1", "192.0.2.2", "2001:db8::1", "0.0.0.0", "x"]
            ),
            max_size=2,
        ),
        "classes": strategies.dictionaries(
            strategies.sampled_from(["a", "b", ""]), _classes, max_size=2
        ),
        "target_networks": strategies.lists(
            strategies.sampled_from(
                ["10.0.0.0/24", "10.0.0.0/25", "10.0.1.0/24", "fd00::/64"]
            ),
            max_size=2,
        ),
    }
)
_json = strategies.recursive(
    strategies.none() | strategies.integers() | strategies.text(max_size=3),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(["services", "classes", "port", "x"]),
            inner,
            max_size=3,
        )
    ),
    max_leaves=8,
)
_documents = _json | strategies.fixed_dictionaries(
    {
        "services": strategies.dictionaries(
            strategies.sampled_from(["one", "two", "three"]),
            _services | _json,
            max_size=3,
        )
    }
)


class DocumentTest(testtools.TestCase):
    """A document is accepted whole or refused with the path of the fault."""

    def test_a_valid_document_is_accepted(self):
        checked = validated_configuration.check(with_services())
        self.assertEqual(["one", "two"], sorted(checked.services))

    def test_each_fault_is_refused_with_its_path(self):
        for value, path in REFUSED:
            with self.subTest(path=path, value=value):
                refused = validated_configuration.check(value)
                self.assertIsInstance(refused, failure.Failure, value)
                self.assertEqual(path, refused.path, refused)

    def test_a_refused_change_does_not_alter_the_index(self):
        checked = validated_configuration.check(with_services())
        ports = dict(checked.index.ports)
        clash = checked.services["one"]
        refused = checked.replace({"two": clash, "three": clash})
        self.assertIsInstance(refused, failure.Failure)
        self.assertEqual(ports, checked.index.ports)
        self.assertIsNone(checked.replace({"one": None, "three": clash}))

    @hypothesis.given(_documents)
    @hypothesis.settings(derandomize=True, max_examples=400, deadline=None)
    def test_what_is_accepted_can_be_put_in_force(self, value):
        checked = validated_configuration.check(value)
        if isinstance(checked, failure.Failure):
            self.assertTrue(checked.reason)
            self.assertIsInstance(checked.path, str)
            return
        services = checked.services.values()
        tables = lookup.Lookup(configuration.Configuration(checked.services))
        ports = sum(
            len(service.addresses) * len(service.classes)
            for service in services
        )
        self.assertEqual(ports, len(tables.inbound))
        self.assertEqual(ports, len(tables.outbound))
