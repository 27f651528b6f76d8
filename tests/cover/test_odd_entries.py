"""One odd entry of another writer affects no other target and no host.

Seen by operators of a similar system: an entry that was very deeply nested, or
had a number too large or a port out of range, ended the hosts that read the
list, or kept them from following it.
"""

import json

import msgspec
import testtools
from testtools import matchers

from tamarack_core import cookie_entry
from tamarack_core import document_control
from tamarack_core import effects
from tamarack_core import envelopes
from tamarack_core import events
from tamarack_core import external_requests
from tamarack_core import peers
from tamarack_core import reducer
from tamarack_core import refusal
from tamarack_core import sync
from tamarack_core import target_announcement
from tamarack_core import timeline
from tamarack_core.internal import target_tags
from tamarack_core.internal.registry import target_registry
from tamarack_core.storage import disk as disks
from tamarack_node import light_driver
from tamarack_platform import control_http
from tests import cookie_host
from tests import group_network

DEPTH = 100_000
"""Nesting beyond the limit of every decoder."""

HUGE = 10**400
"""Number that neither 64 bits nor a float can hold."""

HEARTBEAT = {
    "service": "web",
    "address": "10.128.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "warmup-left-ms": 0,
    "sequence": 4,
    "born": 1700000000000,
}

ODD_FIELDS = (
    ("address", "10.128.0.9:65536"),
    ("address", "10.128.0.9:0"),
    ("address", f"10.128.0.9:{HUGE}"),
    ("address", "web.example:8080"),
    ("address", f"{'a' * 70}.example:8080"),
    ("address", "10.128.0.09:8080"),
    ("address", "10.128.0:8080"),
    ("address", "10.128.0.256:8080"),
    ("address", f"{HUGE}.128.0.9:8080"),
    ("address", f"{'9' * 100_000}.128.0.9:8080"),
    ("address", "10.128.0.+9:8080"),
    ("address", "10.128.0.9.9:8080"),
    ("address", "10.128.0.9\0:8080"),
    ("address", "fd00::9:8080"),
    ("address", "0.0.0.0:8080"),
    ("address", "224.0.0.9:8080"),
    ("address", "255.255.255.255:8080"),
    ("slots", HUGE),
    ("slots", 1 << 62),
    ("slots", 0),
    ("slots", -1),
    ("sequence", 1 << 64),
    ("sequence", 1 << 62),
    ("sequence", -1),
    ("sequence", -HUGE),
    ("born", 1 << 64),
    ("born", 1 << 53),
    ("born", -1),
    ("warmup-left-ms", 1e300),
    ("warmup-left-ms", float("inf")),
    ("warmup-left-ms", float("nan")),
    ("service", "s" * 100_000),
    ("zone", "z" * 100_000),
    ("version", HUGE),
    ("version", [[]]),
    ("version", None),
)
"""Fields of heartbeats, each odd by itself."""

VALID_FIELDS = (
    ("address", "10.128.0.9:1"),
    ("address", "10.128.0.9:65535"),
    ("address", "223.255.255.255:8080"),
    ("slots", 1),
    ("slots", 4096),
    ("sequence", 0),
    ("sequence", 1 << 40),
    ("born", 0),
    ("born", 4102444800000),
    ("warmup-left-ms", 30_000.5),
    ("warmup-left-ms", -3.5),
    ("zone", ""),
    ("version", ""),
    ("note", [{"of": "a later release"}]),
)
"""Fields of heartbeats, all of them valid."""

ODD_CHANGES = (
    {"endpoint": peers.Endpoint("10.9.0.3", 65536)},
    {"endpoint": peers.Endpoint("10.9.0.3", -1)},
    {"endpoint": peers.Endpoint("web.example", 80)},
    {"endpoint": peers.Endpoint("10.9.0.3\0", 80)},
    {"sequence": 1 << 62},
    {"sequence": 1 << 64},
    {"born_ms": 1 << 64},
    {"slots": HUGE},
    {"slots": 1 << 62},
    {"cold_ms": HUGE},
    {"service": "s" * 100_000},
    {"phase": target_announcement.Phase.GONE, "sequence": HUGE},
)
"""Odd targets that a host of an earlier release may hold."""


ROUTE = {
    "name": "r-1",
    "host": "198.18.0.1",
    "path-prefix": "/8443/",
    "type": "idempotent",
    "timeout-ms": 1500,
    "priority": 2,
    "traffic-split": [{"service": "web", "weight": 90}],
}

DOCUMENT = {
    "version": 7,
    "routes": [ROUTE],
    "services": [{"name": "web", "health-path": "/health"}],
    "limits": {"idle-timeout-ms": 15000},
}

ODD_ROUTE_FIELDS = (
    ("path-prefix", "/65536/"),
    ("path-prefix", "/0/"),
    ("path-prefix", "/-1/"),
    ("path-prefix", f"/{HUGE}/"),
    ("path-prefix", f"/{'9' * 100_000}/"),
    ("host", "198.18.0.256"),
    ("host", "web.example"),
    ("timeout-ms", float("inf")),
    ("timeout-ms", float("nan")),
    ("timeout-ms", HUGE),
    ("timeout-ms", -1),
    ("timeout-ms", 0),
    ("priority", 1 << 64),
    ("priority", -HUGE),
    ("traffic-split", [{"service": "web", "weight": 1 << 64}]),
    ("traffic-split", [{"service": "web", "weight": HUGE}]),
    ("traffic-split", [{"service": "web", "weight": -1}]),
)
"""Fields of routes, each odd by itself."""

ODD_DOCUMENT_FIELDS = (
    ("version", 1 << 64),
    ("version", HUGE),
    ("version", -1),
    ("version", 7.5),
    ("version", True),
    ("limits", {"idle-timeout-ms": float("inf")}),
    ("limits", {"idle-timeout-ms": HUGE}),
    ("limits", {"idle-timeout-ms": -1}),
)
"""Fields of documents, each odd by itself."""

VALID_ROUTE_FIELDS = (
    ("path-prefix", "/1/"),
    ("path-prefix", "/65535/"),
    ("timeout-ms", 0.5),
    ("timeout-ms", 1e308),
    ("priority", (1 << 64) - 1),
    ("priority", -(1 << 63)),
    ("traffic-split", [{"service": "web", "weight": (1 << 64) - 1}]),
    ("later", [HUGE]),
)
"""Fields of routes, all of them valid."""


def odd_targets():
    """Returns odd targets, as a control host of an earlier release has them."""
    return [
        msgspec.structs.replace(
            group_network.target(f"odd-{number}"),
            **{"endpoint": peers.Endpoint("10.9.0.3", 80 + number), **changes},
        )
        for number, changes in enumerate(ODD_CHANGES)
    ]


def good_targets():
    """Returns targets that another writer has not touched."""
    return [
        group_network.target(
            f"good-{number}", endpoint=peers.Endpoint("10.9.0.2", 80 + number)
        )
        for number in range(2)
    ]


def update(targets):
    """Returns the update of a control host that holds targets."""
    return sync.SyncUpdate(
        run="earlier release",
        base=0,
        position=len(targets),
        is_settled=True,
        targets=tuple(map(target_announcement.KnownTarget, targets)),
    )


def records_named(result, name):
    """Returns the time line entries of a name among effects."""
    return [
        effect.entry
        for effect in result
        if isinstance(effect, effects.Record) and effect.entry.name == name
    ]


def nested(depth):
    """Returns the JSON of lists inside each other."""
    return "[" * depth + "]" * depth


def short(value):
    """Returns the start of the text of a value."""
    return repr(value)[:80]


class AnnouncementTest(testtools.TestCase):
    """A control host receives odd announcements among those of others."""

    def setUp(self):
        super().setUp()
        self.codec = control_http.ControlHttpCodec(8166)
        self.network = group_network.GroupNetwork(3)
        self.network.start_all()
        self.network.publish(1)

    def call(self, body, name="i-7f3a91c2", call="heartbeat"):
        """Sends a call of a target to c1; returns the HTTP response."""
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        request = light_driver.HttpRequest(
            "POST", f"/instances/{name}/{call}", data
        )
        decoded = self.codec.decode(request)
        if isinstance(decoded, light_driver.HttpResponse):
            return decoded
        return self.codec.encode(request, self.network.try_at("c1", decoded))

    def known(self, host):
        """Returns the names of the targets that a host holds."""
        component = self.network.component_of(
            host, external_requests.AnnounceTarget
        )
        return sorted(component.registry.records)

    def test_an_odd_announcement_is_refused_and_the_others_are_followed(self):
        for field, value in ODD_FIELDS:
            response = self.call({**HEARTBEAT, field: value})
            self.assertEqual(400, response.status, f"{field} {short(value)}")
        self.call({**HEARTBEAT, "address": "10.128.0.8:80"}, "i-8")
        self.network.run(3.0)
        for host in self.network.peers:
            self.assertEqual(["i-8"], self.known(host))

    def test_a_refusal_states_the_reason_in_little_space(self):
        for field, value in ODD_FIELDS:
            body = self.call({**HEARTBEAT, field: value}).body
            self.assertNotEqual("", json.loads(body)["error"])
            self.assertThat(len(body), matchers.LessThan(4096))

    def test_an_announcement_with_unusual_values_is_accepted(self):
        for field, value in VALID_FIELDS:
            response = self.call({**HEARTBEAT, field: value})
            self.assertEqual(200, response.status, f"{field} {short(value)}")

    def test_an_announcement_of_a_very_long_name_is_refused(self):
        response = self.call(HEARTBEAT, f"{'i' * 100_000}-7f")
        self.assertEqual(400, response.status)

    def test_a_deeply_nested_announcement_is_refused(self):
        text = json.dumps(HEARTBEAT)
        for field in ("later", "born", "address"):
            body = f'{text[:-1]}, "{field}": {nested(DEPTH)}}}'
            self.assertEqual(400, self.call(body.encode()).status)
        self.assertEqual(400, self.call(nested(DEPTH).encode()).status)

    def test_an_odd_withdrawal_removes_no_target(self):
        self.call(HEARTBEAT)
        for born in (HUGE, 1 << 53, -1, 1.5, "5"):
            response = self.call({"born": born}, call="deregister")
            self.assertEqual(400, response.status, short(born))
        body = f'{{"born": {nested(DEPTH)}}}'.encode()
        self.assertEqual(400, self.call(body, call="deregister").status)
        self.assertEqual(200, self.call(HEARTBEAT).status)
        component = self.network.component_of(
            "c1", external_requests.AnnounceTarget
        )
        phase = component.registry.records["i-7f3a91c2"].target.phase
        self.assertEqual("READY", phase.name)


class ControlHostTest(testtools.TestCase):
    """A control host finds odd targets of an earlier release."""

    def setUp(self):
        super().setUp()
        self.now_s = 100.0

    def start(self, saved=None):
        """Starts a host with saved targets; returns it and its effects."""
        own = group_network.peer(1)
        plan = document_control.Plan(
            host=own,
            seed=1,
            seeds=(group_network.seed_of(own),),
            disk=disks.DiskContents("i-1", None, (), saved),
            tolerated_hosts=1,
            announce_interval_s=group_network.ANNOUNCE_INTERVAL_S,
        )
        node = document_control.assemble(plan)
        return node, reducer.reduce(node, events.Started(self.now_s, 1000))

    def known(self, node):
        """Returns the names of the targets that a host holds."""
        component = node.handlers[external_requests.AnnounceTarget][0].__self__
        return sorted(component.registry.records)

    def saved_later(self, node):
        """Returns the names of the targets that the host saves next."""
        found = []
        for _ in range(10):
            self.now_s += 0.25
            event = events.TimerFired(self.now_s, "registry")
            for effect in reducer.reduce(node, event):
                if isinstance(effect, effects.SaveTargets):
                    registry = target_registry.TargetRegistry(1.0)
                    registry.restore(self.now_s, effect.data)
                    found.append(sorted(registry.records))
        return found

    def test_an_odd_target_of_another_control_host_is_skipped(self):
        node, _ = self.start()
        targets = [*good_targets(), *odd_targets()]
        result = reducer.reduce(
            node,
            events.MessageArrived(
                self.now_s, group_network.peer(2), update(targets[::-1])
            ),
        )
        self.assertEqual(["good-0", "good-1"], self.known(node))
        [skipped] = records_named(result, "targets-skipped")
        self.assertThat(skipped.reason, matchers.StartsWith("bad-"))
        self.assertIn(str(len(ODD_CHANGES)), skipped.detail)
        self.assertEqual([["good-0", "good-1"]], self.saved_later(node))

    def check_restored(self, entries):
        """Checks that a host restores the good ones of saved targets."""
        for saved in (entries, {"targets": entries, "entry_hosts": 7}):
            node, result = self.start(msgspec.msgpack.encode(saved))
            self.assertEqual(["good-0", "good-1"], self.known(node))
            self.assertEqual(1, len(records_named(result, "targets-skipped")))

    def test_an_odd_target_on_disk_is_skipped(self):
        for odd in odd_targets():
            try:
                msgspec.msgpack.encode(odd)
            except OverflowError:
                continue
            self.check_restored([odd, *good_targets()])

    def test_an_unreadable_target_on_disk_is_skipped(self):
        valid = msgspec.to_builtins(group_network.target("odd"))
        for position, value in ((7, 9), (1, "then"), (4, None), (0, 5)):
            odd = [*valid[:position], value, *valid[position + 1 :]]
            self.check_restored([odd, *good_targets()])
        for odd in (5, {}, [], None):
            self.check_restored([odd, *good_targets()])

    def test_a_deeply_nested_target_on_disk_does_not_end_the_start(self):
        deep = b"\x91" * DEPTH + b"\xc0"
        fields = msgspec.msgpack.encode(good_targets()[0])[1:]
        node, result = self.start(b"\x91\x9a" + fields + deep)
        [restored] = records_named(result, "targets-restored")
        self.assertEqual("bad-targets", restored.reason)
        self.assertEqual([], self.known(node))


class EntryHostTest(testtools.TestCase):
    """An entry host follows a control host of an earlier release."""

    def test_an_odd_target_is_skipped_and_the_others_get_the_flows(self):
        for odd in odd_targets():
            host = cookie_host.CookieHost()
            host.update(odd, *good_targets(), document=cookie_host.document(1))
            opened = {host.open(n) for n in range(20)}
            self.assertEqual({"good-0", "good-1"}, opened, short(odd))
            [skipped] = records_named(host.records, "targets-skipped")
            self.assertEqual("odd", skipped.target[:3])
            self.assertThat(skipped.reason, matchers.StartsWith("bad-"))

    def test_an_update_with_odd_targets_can_be_decoded(self):
        sender = cookie_host.control("c1")
        sent = envelopes.Envelope(
            sender, timeline.Stamp(0, 0), (update(odd_targets()),)
        )
        data = document_control.CODEC.encode(sent)
        self.assertEqual(sent, cookie_entry.CODEC.decode(data))

    def test_an_update_with_an_odd_target_is_not_requested_again(self):
        host = cookie_host.CookieHost()
        host.update(document=cookie_host.document(1))
        host.update(*odd_targets(), *good_targets(), base=1, position=2)
        host.sent.clear()
        host.tick(1.2)
        self.assertEqual({2}, {effect.message.position for effect in host.sent})

    def test_an_odd_announcement_of_a_known_target_leaves_its_flows(self):
        host = cookie_host.CookieHost()
        host.update(*good_targets(), document=cookie_host.document(1))
        odd = msgspec.structs.replace(
            good_targets()[0],
            sequence=2,
            endpoint=peers.Endpoint("10.9.0.2", 70000),
        )
        host.update(odd, base=1, position=2)
        packet = cookie_host.packet(
            3, cookie=target_tags.tag_of("good-0"), payload_bytes=9
        )
        [sent] = host.handle(events.DatagramArrived(host.now_s, packet))
        self.assertEqual(good_targets()[0].endpoint, sent.endpoint)


class DocumentTest(testtools.TestCase):
    """Operators publish odd documents to the leader."""

    def setUp(self):
        super().setUp()
        self.codec = control_http.ControlHttpCodec(8166)
        self.network = group_network.GroupNetwork(3)
        self.network.start_all()
        self.network.publish(1)
        self.leader = self.network.leaders().pop()

    def publish(self, body):
        """Publishes a document at the leader; returns the HTTP response."""
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        request = light_driver.HttpRequest("POST", "/config/replace", data)
        decoded = self.codec.decode(request)
        if isinstance(decoded, light_driver.HttpResponse):
            return decoded
        response = self.network.try_at(self.leader, decoded)
        return self.codec.encode(request, response)

    def check_refused(self, body):
        """Checks that a document is refused, and that the leader goes on."""
        self.assertEqual(400, self.publish(body).status, short(body))
        self.network.run(0.5)
        self.assertEqual(1, self.network.read().number)

    def test_an_odd_document_is_refused_and_the_leader_goes_on(self):
        for field, value in ODD_DOCUMENT_FIELDS:
            self.check_refused({**DOCUMENT, field: value})
        for field, value in ODD_ROUTE_FIELDS:
            route = {**ROUTE, field: value}
            self.check_refused({**DOCUMENT, "routes": [route]})
        self.assertEqual(200, self.publish(DOCUMENT).status)
        self.assertEqual(7, self.network.read().number)

    def test_a_deeply_nested_document_is_refused(self):
        text = json.dumps(DOCUMENT)
        deep = nested(DEPTH)
        for body in (
            deep,
            f'{text[:-1]}, "later": {deep}}}',
            text.replace('"priority": 2', f'"priority": {deep}'),
            text.replace('"priority": 2', f'"later": {deep}'),
            text.replace("15000", deep),
        ):
            self.check_refused(body.encode())

    def test_a_document_with_unusual_values_is_accepted(self):
        for number, (field, value) in enumerate(VALID_ROUTE_FIELDS, 2):
            route = {**ROUTE, field: value}
            body = {**DOCUMENT, "version": number, "routes": [route]}
            response = self.publish(body)
            self.assertEqual(200, response.status, f"{field} {short(value)}")
            self.network.run(0.5)
        body = {**DOCUMENT, "version": (1 << 64) - 1, "later": [[[HUGE]]]}
        self.assertEqual(200, self.publish(body).status)
        self.assertEqual(body["version"], self.network.read().number)

    def test_a_document_whose_times_have_no_json_form_is_refused(self):
        document = group_network.document(2)
        route = document.routes[0]
        for time_ms in (float("inf"), float("nan")):
            for odd in (
                msgspec.structs.replace(document, idle_timeout_ms=time_ms),
                msgspec.structs.replace(
                    document,
                    routes=(
                        msgspec.structs.replace(route, timeout_ms=time_ms),
                    ),
                ),
            ):
                request = external_requests.PublishDocument(odd)
                response = self.network.try_at(self.leader, request)
                self.assertIsInstance(response, refusal.Refused)
                self.assertEqual("bad-timeout", response.reason)
