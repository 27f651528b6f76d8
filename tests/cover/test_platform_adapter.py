"""The adapter translates well-formed input and refuses all other."""

import json
import struct

import hypothesis
from hypothesis import strategies
import testtools
from testtools import matchers

from tamarack_core import documents as core_documents
from tamarack_core import evacuations
from tamarack_core import external_requests
from tamarack_core import failure
from tamarack_core import flow_packets
from tamarack_core import peers
from tamarack_core import target_announcement
from tamarack_node import light_driver
from tamarack_platform import control_http
from tamarack_platform import documents
from tamarack_platform import entry_http
from tamarack_platform import packets
from tamarack_platform import settings

SETTINGS = """\
node-name=frontend-a-1
role=entry
serves=frontend
ip=10.1.0.10
zone=a
listen-addrs.datagram-addr=10.1.0.10:8172
listen-addrs.ready=10.1.0.10:8167
internal-ports=7720,7735
seeds=10.1.0.13:8166,10.2.0.42:8166
bootstrap=true
heartbeat-ms=1200
fault-tolerance.machines=1
a-new-field=of a later release
"""

DOCUMENT = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "198.18.0.1",
            "path-prefix": "/8443/",
            "type": "idempotent",
            "timeout-ms": 1500,
            "priority": 2,
            "traffic-split": [
                {"service": "web", "weight": 90},
                {"service": "files", "weight": 10},
            ],
            "max-attempts": 2,
            "extra": [1.50, "é"],
        },
        {
            "name": "r-2",
            "host": "198.18.0.1",
            "path-prefix": "/80/",
            "type": "non_idempotent",
            "timeout-ms": 2000,
            "service": "web",
        },
    ],
    "services": [
        {"name": "web", "health-path": "/health", "tls": False},
        {"name": "files", "health-path": "/health"},
    ],
    "limits": {"idle-timeout-ms": 15000},
    "later": {"a": None},
}

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

JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=8), inner, max_size=3
        )
    ),
    max_leaves=5,
)


def post(path, body):
    """Returns a request with a JSON body."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    return light_driver.HttpRequest("POST", path, data)


def warming(field, value):
    """Returns the services of the document, one with another field."""
    first, second = DOCUMENT["services"]
    return {"services": [{**first, field: value}, second]}


def without(mapping, name):
    """Returns a mapping without one of its fields."""
    return {key: value for key, value in mapping.items() if key != name}


class SettingsTest(testtools.TestCase):
    """Settings of the platform."""

    def test_the_fields_are_parsed(self):
        boot = settings.parse(SETTINGS)
        self.assertEqual(peers.Endpoint("10.1.0.10", 7720), boot.host.control)
        self.assertEqual(peers.Endpoint("10.1.0.10", 8172), boot.data)
        # Seeds are given by the addresses for operators; hosts contact each
        # other at the internal port.
        self.assertEqual(
            ["10.1.0.13", "10.2.0.42"],
            [seed.control.address for seed in boot.seeds],
        )
        self.assertEqual({7720}, {seed.control.port for seed in boot.seeds})
        self.assertEqual(1.2, boot.announce_interval_s)

    def test_each_missing_field_is_named(self):
        needed = SETTINGS.splitlines()[:-1]
        for line in needed:
            name = line.split("=")[0]
            if name == "role":
                continue
            rest = "\n".join(other for other in needed if other != line)
            refused = settings.parse(rest)
            self.assertIsInstance(refused, failure.Failure)
            self.assertIn(name, refused.detail)

    def test_an_invalid_value_is_reported_with_the_fix(self):
        for line, expected_text in (
            ("ip=10.1.0", "IPv4"),
            ("ip=10.1.0.999", "IPv4"),
            ("heartbeat-ms=soon", "whole number"),
            ("bootstrap=maybe", "true or false"),
            ("internal-ports=0,1", "65535"),
            ("seeds=10.1.0.13", "seeds"),
            ("listen-addrs.ready=10.1.0.10:port", "65535"),
        ):
            refused = settings.parse(f"{SETTINGS}{line}\n")
            self.assertIsInstance(refused, failure.Failure)
            self.assertIn(expected_text, refused.detail)

    # Where no bound for evacuations is set, their calls are unknown calls.
    def test_evacuations_are_used_only_where_their_bound_is_set(self):
        zones = "zones.a=north\nzones.b=north\nbounds.ack-timeout-ms=6000\n"
        self.assertIsNone(settings.parse(SETTINGS + zones).evacuation)
        bound = "bounds.evacuate-ms=5000\n"
        parsed = settings.parse(SETTINGS + zones + bound).evacuation
        self.assertEqual(frozenset(("a", "b")), parsed.domains)
        self.assertEqual(6.0, parsed.repeat_s)
        refused = settings.parse(SETTINGS + bound)
        self.assertIn("bounds.ack-timeout-ms", refused.detail)

    def test_the_overrun_of_cold_targets_is_optional(self):
        parsed = settings.parse(SETTINGS)
        found = (parsed.cold_overrun_factor, parsed.cold_slack_requests)
        self.assertEqual((1.0, 0.0), found)
        bounds = "bounds.warmup-overrun=1.5\nbounds.warmup-slack=5\n"
        parsed = settings.parse(SETTINGS + bounds)
        found = (parsed.cold_overrun_factor, parsed.cold_slack_requests)
        self.assertEqual((1.5, 5.0), found)
        for value in ("-1", "nan", "inf", "1e9", "x", "1" * 400):
            refused = settings.parse(SETTINGS + f"bounds.warmup-slack={value}")
            self.assertIn("bounds.warmup-slack", refused.detail)

    @hypothesis.given(strategies.text())
    def test_no_text_raises(self, text):
        self.assertIsInstance(settings.parse(text), failure.Failure)

    @hypothesis.given(strategies.data())
    def test_no_garbled_line_raises(self, data):
        lines = SETTINGS.splitlines()
        index = data.draw(strategies.integers(0, len(lines) - 1))
        lines[index] = data.draw(strategies.text(max_size=30))
        parsed = settings.parse("\n".join(lines))
        self.assertIsInstance(parsed, failure.Failure | settings.HostSettings)


class PacketTest(testtools.TestCase):
    """Packets on the wire."""

    # The example in the platform's specification.
    OPENING = bytes.fromhex(
        "44332211 00000000 bb01 419c 010012c6 07004064 d5c3b2a1 0800000000 0000"
    )
    RESET = bytes.fromhex(
        "00000000 00000000 419c bb01 07004064 010012c6 00000000 0400000000 0000"
    )

    def setUp(self):
        super().setUp()
        self.codec = packets.PlatformPacketCodec(8172)

    def test_the_published_opening_is_read(self):
        packet = self.codec.decode(self.OPENING)
        self.assertTrue(packet.is_opening)
        self.assertEqual(
            "100.64.0.7:40001>198.18.0.1:443",
            flow_packets.describe(packet.flow),
        )
        self.assertEqual(0x11223344, packet.sequence)
        self.assertEqual(0, packet.copy_number)

    def test_the_published_reset_is_written(self):
        packet = self.codec.decode(self.OPENING)
        endpoint, data = self.codec.encode_reset(packet.flow, 0)
        self.assertEqual(self.RESET, data)
        self.assertEqual(peers.Endpoint("100.64.0.7", 8172), endpoint)

    def test_only_the_tag_of_a_forwarded_packet_changes(self):
        packet = self.codec.decode(self.OPENING)
        data = self.codec.encode_forward(packet, "i-7f3a91c2", 0xA1B2C3D4)
        self.assertEqual(0x7F3A91C2, int.from_bytes(data[:8], "big"))
        self.assertEqual(self.OPENING[:25], data[8:33])
        self.assertEqual(0xA1B2C3D4, struct.unpack("<I", data[33:37])[0])
        self.assertEqual(self.OPENING[29:], data[37:])

    def test_copies_of_an_opening_are_counted_in_its_acknowledgement(self):
        data = self.OPENING[:4] + b"\x02\x00\x00\x00" + self.OPENING[8:]
        packet = self.codec.decode(data)
        self.assertEqual((2, 0), (packet.copy_number, packet.acknowledged))

    @hypothesis.given(strategies.binary(max_size=60))
    def test_no_datagram_raises(self, data):
        packet = self.codec.decode(data)
        if isinstance(packet, failure.Failure):
            return
        self.assertEqual(packets.HEADER_BYTES + packet.payload_bytes, len(data))
        self.codec.encode_forward(packet, "i-1", 1)
        self.codec.encode_reset(packet.flow, packet.acknowledged)

    @hypothesis.given(strategies.text(max_size=30))
    def test_a_name_has_a_number_or_none(self, name):
        number = packets.target_number(name)
        if number is not None:
            self.assertTrue(0 <= number < 1 << 64)


class DocumentTest(testtools.TestCase):
    """Configurations as operators send them."""

    def test_a_document_is_read_back_as_it_was_sent(self):
        document = documents.decode(json.dumps(DOCUMENT).encode())
        self.assertIsNone(core_documents.check(document))
        self.assertEqual(DOCUMENT, json.loads(documents.encode(document)))

    def test_a_document_changed_by_a_difference_is_read_back(self):
        first = documents.decode(json.dumps(DOCUMENT).encode())
        later = dict(DOCUMENT, version=9, routes=DOCUMENT["routes"][::-1])
        second = documents.decode(json.dumps(later).encode())
        change = core_documents.difference(first, second)
        applied = core_documents.apply(first, change)
        self.assertEqual(later, json.loads(documents.encode(applied)))

    def test_the_warm_up_of_services_is_optional(self):
        for fields, expected in (
            ({}, (0.0, 0.0)),
            ({"warmup-s": None, "warmup-per-s": 0}, (0.0, 0.0)),
            ({"warmup-s": 5, "warmup-per-s": 4.5}, (5.0, 4.5)),
        ):
            service = {**DOCUMENT["services"][0], **fields}
            body = {**DOCUMENT, "services": [service, DOCUMENT["services"][1]]}
            document = documents.decode(json.dumps(body).encode())
            self.assertIsNone(core_documents.check(document))
            found = document.services[0]
            self.assertEqual(
                expected, (found.warm_up_s, found.cold_requests_per_s)
            )
            self.assertEqual(body, json.loads(documents.encode(document)))

    def test_invalid_documents_are_refused_with_a_reason(self):
        route = DOCUMENT["routes"][1]
        twice = dict(route, name="r-3")
        split = {"traffic-split": [{"service": "web"}]}
        nothing = {"traffic-split": [{"service": "web", "weight": 0}]}
        for changed, reason in (
            ({"routes": [route, twice]}, "repeated-place"),
            ({"routes": [dict(route, service="none")]}, "unknown-service"),
            ({"routes": [dict(route, **{"timeout-ms": 0})]}, "bad-timeout"),
            ({"routes": [dict(route, **split)]}, "unreadable"),
            ({"routes": [dict(route, **nothing)]}, "bad-weight"),
            ({"routes": [without(route, "service")]}, "unreadable"),
            ({"routes": [dict(route, type="none")]}, "unreadable"),
            ({"routes": [dict(route, host="nowhere")]}, "unreadable"),
            ({"routes": [dict(route, **{"path-prefix": "/"})]}, "unreadable"),
            (warming("warmup-s", -1), "unreadable"),
            (warming("warmup-s", "5"), "unreadable"),
            (warming("warmup-s", 1e300), "bad-warm-up"),
            (warming("warmup-per-s", 1e300), "bad-warm-up"),
            ({"version": "7"}, "unreadable"),
            ({"version": 0}, "unreadable"),
        ):
            body = json.dumps({**DOCUMENT, **changed}).encode()
            found = documents.decode(body)
            if not isinstance(found, failure.Failure):
                found = core_documents.check(found)
            self.assertEqual(reason, found.reason, str(changed))

    def test_a_body_truncated_anywhere_is_refused(self):
        body = json.dumps(DOCUMENT).encode()
        for end in range(len(body)):
            self.assertIsInstance(documents.decode(body[:end]), failure.Failure)

    @hypothesis.given(JSON)
    def test_no_body_raises(self, value):
        documents.decode(json.dumps(value).encode())

    @hypothesis.given(strategies.data())
    def test_no_field_of_another_type_raises(self, data):
        changed = json.loads(json.dumps(DOCUMENT))
        place = data.draw(
            strategies.sampled_from(
                [changed, changed["routes"][0], changed["services"][0]]
            )
        )
        name = data.draw(strategies.sampled_from(sorted(place)))
        place[name] = data.draw(JSON)
        found = documents.decode(json.dumps(changed).encode())
        if not isinstance(found, failure.Failure):
            core_documents.check(found)


class HttpCodecTest(testtools.TestCase):
    """HTTP requests of operators and targets."""

    def setUp(self):
        super().setUp()
        self.http_codec = control_http.ControlHttpCodec(8166)

    def announce(self, body, name="i-7f3a91c2"):
        """Decodes a heartbeat."""
        request = post(f"/instances/{name}/heartbeat", body)
        return self.http_codec.decode(request)

    def test_a_heartbeat_becomes_an_announcement(self):
        target = self.announce(HEARTBEAT).target
        self.assertEqual((1700000000000, 4), target.order)
        self.assertEqual(target_announcement.Phase.READY, target.phase)
        self.assertEqual(peers.Endpoint("10.128.0.9", 8080), target.endpoint)

    def test_malformed_heartbeats_are_refused(self):
        needed = set(HEARTBEAT) - {"version", "warmup-left-ms", "born"}
        bodies = [without(HEARTBEAT, name) for name in sorted(needed)]
        bodies += [
            dict(HEARTBEAT, state="gone"),
            dict(HEARTBEAT, slots="2"),
            dict(HEARTBEAT, sequence=True),
            dict(HEARTBEAT, address="nowhere"),
            b"\xff\xfe",
            b"",
        ]
        for body in bodies:
            self.assertEqual(400, self.announce(body).status, str(body))
        self.assertEqual(400, self.announce(HEARTBEAT, "no-number").status)

    def test_a_deregistration_may_have_a_start_time(self):
        path = "/instances/i-7f3a91c2/deregister"
        for body, born_ms in ((b"", None), ({"born": 5}, 5)):
            request = self.http_codec.decode(post(path, body))
            self.assertEqual(
                external_requests.WithdrawTarget("i-7f3a91c2", born_ms), request
            )

    def test_responses_are_encoded_for_the_platform(self):
        put = post("/config/replace", DOCUMENT)
        leader = peers.Peer("c", "a", peers.Endpoint("10.0.0.4", 7720))
        moved = self.http_codec.encode(put, external_requests.Elsewhere(leader))
        self.assertEqual(307, moved.status)
        self.assertThat(
            moved.headers,
            matchers.Contains(
                ("Location", "http://10.0.0.4:8166/config/replace")
            ),
        )
        later = self.http_codec.encode(
            put, external_requests.Unavailable("no-leader", 0.5)
        )
        self.assertEqual(503, later.status)
        self.assertIn(("Retry-After", "0.5"), later.headers)
        noted = self.http_codec.encode(
            put, external_requests.TargetAcknowledged("10.0.0.4")
        )
        self.assertEqual(
            {"heartbeat-addr": "10.0.0.4:8166"}, json.loads(noted.body)
        )

    def test_an_unknown_call_is_refused(self):
        for method, path in (("GET", "/"), ("GET", "/config/replace")):
            reply = self.http_codec.decode(
                light_driver.HttpRequest(method, path, b"")
            )
            self.assertEqual(404, reply.status)

    def test_an_evacuation_is_an_order_where_the_deployment_uses_it(self):
        codec = control_http.ControlHttpCodec(8166, accepts_evacuations=True)
        for call, action in (
            ("start", evacuations.Action.START),
            ("end", evacuations.Action.END),
        ):
            request = light_driver.HttpRequest(
                "POST", f"/evacuation/a%2D1/{call}", b""
            )
            # Names are compared as they are: an escaped one is unknown.
            self.assertEqual(
                evacuations.Order("a%2D1", action), codec.decode(request).order
            )
            self.assertEqual(404, self.http_codec.decode(request).status)
        done = codec.encode(request, external_requests.EvacuationOrdered(3))
        self.assertEqual(200, done.status)
        unknown = external_requests.NotFound("unknown-domain", "")
        self.assertEqual(404, codec.encode(request, unknown).status)

    def test_other_calls_of_evacuations_are_refused(self):
        codec = control_http.ControlHttpCodec(8166, accepts_evacuations=True)
        for method, path, body, status in (
            ("GET", "/evacuation/a/start", b"", 405),
            ("DELETE", "/evacuation/a/end", b"", 405),
            ("POST", "/evacuation//start", b"", 404),
            ("POST", "/evacuation/a/b/start", b"", 404),
            ("POST", "/evacuation/a/stop", b"", 404),
            ("POST", "/evacuation/a", b"", 404),
            ("POST", "/evacuation/a/start", b"x" * 70_000, 413),
        ):
            reply = codec.decode(light_driver.HttpRequest(method, path, body))
            self.assertEqual(status, reply.status, path)

    def test_readiness_is_a_status(self):
        entry = entry_http.EntryHttpCodec()
        request = light_driver.HttpRequest("GET", "/ready", b"")
        self.assertEqual(
            external_requests.ReadReadiness(), entry.decode(request)
        )
        for is_ready, status in ((True, 200), (False, 503)):
            reply = entry.encode(request, external_requests.Readiness(is_ready))
            self.assertEqual(status, reply.status)

    @hypothesis.given(JSON)
    def test_no_heartbeat_raises(self, value):
        self.announce(value)
