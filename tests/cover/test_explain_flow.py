"""Explanations of where a new flow would go, at hosts that forward by cookies.

Failures guarded against: an explanation that changes the state of the host, or
that differs from what the host does with the next opening packet.
"""

import asyncio
import collections
import json
import random
import subprocess
import sys

from click import testing
import testtools
from testtools import matchers

from tamarack_core import evacuations
from tamarack_core import events
from tamarack_core import external_requests
from tamarack_core import flow_explanations
from tamarack_core import flow_packets
from tamarack_core import peers
from tamarack_core import refusal
from tamarack_core import target_announcement
from tamarack_core.internal.cookie import flow_explanation
from tamarack_core.internal.cookie import forwarder
from tamarack_ctl import main as commands
from tamarack_node import light_driver
from tamarack_node.internal import explain_http
from tamarack_node.internal import http1
from tests import cookie_host

Outcome = flow_explanations.Outcome
Rule = flow_explanations.Rule
State = flow_explanations.TargetState
ATOMS = (int, float, str, bytes)


def host_with(*targets, **options):
    """Returns a host with a document and targets."""
    host = cookie_host.CookieHost()
    options.setdefault("document", cookie_host.document(4))
    host.update(*targets, **options)
    return host


def parts_of(item):
    """Returns all that an object refers to, in a fixed order."""
    if isinstance(item, dict):
        return [part for pair in item.items() for part in pair]
    if isinstance(item, set | frozenset):
        return sorted(item)
    if isinstance(item, list | tuple | collections.deque):
        return list(item)
    if isinstance(item, random.Random):
        return [item.getstate()]
    names = getattr(item, "__struct_fields__", None) or [
        name
        for base in type(item).__mro__
        for name in getattr(base, "__slots__", ())
    ]
    return [*names, *(getattr(item, name) for name in names)]


def encode(host):
    """Returns the encoded state of a host: all that its components hold.

    `pickle` can't encode it: it recurses along the links between flows.
    """
    queue = [host.node.context]
    for handlers in host.node.handlers.values():
        queue += [handler.__self__ for handler in handlers]
    numbers = {id(item): number for number, item in enumerate(queue)}
    lines = []
    for item in queue:
        line = [type(item).__name__]
        for part in parts_of(item):
            if part is None or isinstance(part, ATOMS):
                line.append(repr(part))
                continue
            if id(part) not in numbers:
                numbers[id(part)] = len(queue)
                queue.append(part)
            line.append(f"#{numbers[id(part)]}")
        lines.append(" ".join(line))
    return "\n".join(lines)


def ask(host, number, copy_number=0):
    """Returns the response about the flow with a number; checks the state."""
    key = cookie_host.flow(number)
    request = external_requests.ExplainFlow(
        peers.Endpoint(flow_packets.number_to_address(key[2]), key[3]),
        peers.Endpoint(flow_packets.number_to_address(key[0]), key[1]),
        copy_number,
    )
    before = encode(host)
    [effect] = host.handle(events.RequestArrived(host.now_s, 1, request))
    if encode(host) != before:
        raise AssertionError("the explanation changed the state")
    return effect.response


def explain(host, number, copy_number=0):
    """Returns the explanation about the flow with a number."""
    return ask(host, number, copy_number).explanation


def opened(explanation):
    """Returns what `CookieHost.open` returns for the explained decision."""
    return {
        Outcome.PLACED: explanation.target,
        Outcome.REFUSED: "reset",
        Outcome.DROPPED: "",
    }[explanation.outcome]


def verdicts(explanation):
    """Returns the verdicts by rule."""
    return {report.rule: report.verdict for report in explanation.rules}


class DecisionTest(testtools.TestCase):
    """Decisions of a host with targets in several states."""

    def test_the_next_opening_does_what_the_explanation_says(self):
        # Turns, load, repeated openings and dead targets.
        host = host_with(*(cookie_host.target(f"t-{n}") for n in range(5)))
        placed = set()
        for number in range(40):
            for copy_number in range(1 + number % 3):
                expected = explain(host, number, copy_number)
                explain(host, number + 500)
                before = encode(host)
                self.assertEqual(
                    opened(expected), host.open(number, copy_number)
                )
                # Otherwise the encoding would miss changes.
                self.assertNotEqual(before, encode(host))
                placed.add(expected.target)
            if number % 2:
                host.send(number, expected.target, payload_bytes=10)
            host.tick(0.1)
            for name in list(host.probe_numbers):
                host.complete_probe(name, is_answered=name != "t-1")
        self.assertThat(placed, matchers.HasLength(5))

    def test_states_of_targets_and_verdicts_of_rules_are_reported(self):
        evacuated = evacuations.Evacuations(1, ("b",))
        host = host_with(
            cookie_host.target("cold", cold_ms=9000),
            cookie_host.target("late"),
            cookie_host.target(
                "leaving", phase=target_announcement.Phase.DRAINING
            ),
            cookie_host.domain_target("other", "b"),
            evacuated=evacuated,
        )
        host.update(
            target_announcement.KnownTarget(
                cookie_host.target("late"), is_overdue=True
            ),
            base=1,
            position=2,
        )
        host.now_s += 2.5
        explanation = explain(host, 1)
        self.assertEqual(
            {
                "cold": (State.COLD,),
                "late": (State.OVERDUE,),
                "leaving": (State.DRAINING,),
                "other": (State.EVACUATED,),
            },
            {report.name: report.states for report in explanation.targets},
        )
        self.assertEqual("cold", explanation.target)
        self.assertEqual([*Rule], [*verdicts(explanation)])
        self.assertEqual({"passed"}, set(verdicts(explanation).values()))
        self.assertEqual(
            (4, 2.5), (explanation.document, explanation.document_age_s)
        )
        self.assertEqual(("b",), explanation.evacuated_domains)

    def test_a_refusal_is_reported_at_its_rule(self):
        target = cookie_host.target("t-1")
        evacuated = evacuations.Evacuations(1, (cookie_host.DOMAIN,))
        cases = {
            (Rule.DOCUMENT, "opening-before-sync"): host_with(
                target, document=None
            ),
            (Rule.ROUTE, "no-route"): host_with(
                target, document=cookie_host.document(4, port=80)
            ),
            (Rule.TARGETS, "domain-evacuated"): host_with(
                target, evacuated=evacuated
            ),
            (Rule.CHOICE, "no-target"): host_with(),
        }
        for (rule, reason), host in cases.items():
            explanation = explain(host, 1)
            self.assertEqual(reason, explanation.reason)
            found = verdicts(explanation)
            self.assertEqual(explanation.outcome, found[rule])
            later = [*Rule][[*Rule].index(rule) + 1 :]
            self.assertEqual(
                {"not-reached"} if later else set(),
                {found[name] for name in later},
            )
            self.assertEqual(opened(explanation), host.open(1))

    def test_a_wait_and_a_refusal_under_load_are_reported(self):
        # Requests that a full target does not answer, seen by one of 80 hosts.
        host = host_with(cookie_host.target("t-1"), entry_hosts=80)
        for number in range(9):
            explain(host, number)
            host.open(number)
            host.send(number, "t-1", payload_bytes=10)
        waits = explain(host, 100)
        self.assertEqual("opening-deferred", waits.reason)
        self.assertEqual(Outcome.DROPPED, verdicts(waits)[Rule.ADMISSION])
        self.assertEqual("", host.open(100))
        for _ in range(32):
            host.now_s += 0.1
            for number in range(9):
                host.send(
                    number,
                    "t-1",
                    sequence=int(host.now_s * 100),
                    acknowledged=int(host.now_s * 10),
                    payload_bytes=10,
                )
            host.open(200)
        refused = explain(host, 100)
        self.assertEqual("targets-busy", refused.reason)
        self.assertEqual("reset", host.open(100))

    def test_a_host_with_too_many_flows_refuses(self):
        host = host_with(cookie_host.target("t-1"))
        cost = flow_explanation.COST_OF_TARGET + 3
        self.patch(flow_explanation, "MAX_COST", cost)
        for number in range(3):
            host.open(number)
        self.assertEqual(Outcome.PLACED, explain(host, 9).outcome)
        host.open(3)
        self.assertEqual("too-many-flows", ask(host, 9).reason)

    def test_a_target_with_thousands_of_linked_flows_is_copied(self):
        # `copy.deepcopy` fails at the recursion limit.
        host = host_with(cookie_host.target("t-1"))
        for number in range(3000):
            host.open(number)
        [report] = explain(host, 3001).targets
        self.assertEqual(3000, report.flows)

    def test_a_decision_without_record_and_counter_is_reported(self):
        # A rule added later may have neither; the read must not fail.
        host = host_with(cookie_host.target("t-1"))
        self.patch(forwarder.Forwarder, "_forward_opening", lambda *args: [])
        explanation = explain(host, 1)
        self.assertEqual("no-outcome", explanation.reason)


class StartTest(testtools.TestCase):
    """Load: hosts of a small part of a core that restart often."""

    def test_an_entry_host_loads_the_explaining_modules_only_when_asked(self):
        program = (
            "import sys\n"
            "from tamarack_platform import entry\n"
            "print([m for m in sys.modules if 'expla' in m or m in"
            " ('copy', 'ipaddress')])"
        )
        found = subprocess.run(
            [sys.executable, "-c", program],
            capture_output=True,
            check=True,
            text=True,
        )
        self.assertEqual("[]", found.stdout.strip())


class HttpFormTest(testtools.TestCase):
    """Malformed requests."""

    def test_the_query_is_decoded(self):
        request = explain_http.decode(
            "/v1/explain?address=198.18.0.1&port=443&from=100.64.0.1:4000&copy=2"
        )
        expected = external_requests.ExplainFlow(
            peers.Endpoint("198.18.0.1", 443),
            peers.Endpoint("100.64.0.1", 4000),
            2,
        )
        self.assertEqual(expected, request)

    def test_malformed_values_are_refused_with_a_reason(self):
        good = {"address": "198.18.0.1", "port": "443", "from": "10.0.0.1:5"}
        cases = [
            ("address", value, "invalid-address")
            for value in ("", "x", "1.2.3", "::1", "1.2.3.4.5", "1.2.3.256")
        ]
        cases += [
            ("port", value, "invalid-address")
            for value in ("", "0", "-1", "65536", "9" * 5000, "²", "1.5")
        ]
        cases += [
            ("from", value, "invalid-caller")
            for value in ("", "10.0.0.1", "10.0.0.1:", ":5", "x:5", "::1:5")
        ]
        cases += [("copy", value, "invalid-copy") for value in ("", "-1", "10")]
        for name, value, reason in cases:
            fields = {**good, name: value}
            query = "&".join(f"{key}={text}" for key, text in fields.items())
            response = explain_http.decode(f"/v1/explain?{query}")
            self.assertEqual(400, response.status, query)
            self.assertEqual(reason, json.loads(response.body)["reason"])


class CommandTest(testtools.TestCase):
    """The command against an entry host, over real sockets."""

    def run_command(self, *arguments, hosts=None, handler=None, pause_s=0.0):
        """Returns exit code, output and errors of each run of the command.

        Args:
            arguments: Arguments of each run.
            hosts: Endpoints to ask; None for the host itself.
            handler: Handler of HTTP; None for that of the host.
            pause_s: Time between the runs, in seconds.
        """

        async def run():
            host = host_with(
                cookie_host.target("t-1"), cookie_host.target("t-2")
            )
            endpoint = peers.Endpoint("127.0.0.1", 1)
            driver = light_driver.LightDriver(
                host.node,
                light_driver.Addresses(endpoint, endpoint),
                None,
                None,
            )
            listener = http1.HttpListener(handler or driver._handle_metrics)
            await listener.open("127.0.0.1", 0)
            port = listener._server.sockets[0].getsockname()[1]
            named = [
                f"--host={name}" for name in hosts or [f"127.0.0.1:{port}"]
            ]
            results = []
            for words in arguments:
                result = await asyncio.to_thread(
                    testing.CliRunner().invoke,
                    commands.main,
                    ["explain", "flow", *named, *words.split()],
                )
                results.append((result.exit_code, result.stdout, result.stderr))
                await asyncio.sleep(pause_s)
            await listener.close()
            return results

        return asyncio.run(run())

    def test_text_and_json_name_the_target_and_the_rules(self):
        self.patch(light_driver, "EXPLAIN_INTERVAL_S", 0.0)
        words = "--address 198.18.0.1 --port 443 --from 100.66.0.4:1041"
        as_text, as_json = self.run_command(words, f"{words} --json")
        self.assertEqual((0, ""), (as_text[0], as_text[2]))
        self.assertThat(
            as_text[1],
            matchers.MatchesRegex(
                r"(?s)100\.66\.0\.4:1041>198\.18\.0\.1:443 at entry .*"
                r"placed: t-[12]\ndocument 4, in force for .*"
                r"admission +passed .*choice +passed "
            ),
        )
        [explanation] = json.loads(as_json[1])
        self.assertEqual(0, as_json[0])
        self.assertThat(
            ["t-1", "t-2"], matchers.Contains(explanation["target"])
        )

    def test_a_second_request_within_a_second_is_refused(self):
        # Load: an operator's script that asks in a loop.
        words = "--address 198.18.0.1 --port 443"
        results = self.run_command(words, words)
        self.assertEqual([0, 4], [code for code, _, _ in results])
        self.assertIn("explained-recently", results[1][2])

    def test_an_unknown_address_has_its_exit_code(self):
        [(code, text, error)] = self.run_command(
            "--address 198.18.0.9 --port 443"
        )
        self.assertEqual(1, code)
        self.assertIn("refused: no-route", text)
        self.assertIn("no route for 198.18.0.9:443 at entry", error)

    def test_malformed_arguments_are_refused_before_any_host_is_asked(self):
        for words in (
            "--address x --port 443",
            "--address ::1 --port 443",
            "--address 198.18.0.1 --port 0",
            "--address 198.18.0.1 --port 443 --from 1.2.3",
            "--address 198.18.0.1 --port 443 --from 1.2.3.4:70000",
            "--address 198.18.0.1 --port 443 --from 1.2.3.4:5:6",
            "--address 198.18.0.1",
        ):
            [(code, text, error)] = self.run_command(words, hosts=["1.2.3.4:5"])
            self.assertEqual((2, ""), (code, text), error)

    def test_a_host_that_gives_no_explanation_has_its_exit_code(self):
        words = "--address 198.18.0.1 --port 443"

        async def answer_as_older(request):
            return http1.HttpResponse(404)

        [(code, _, error)] = self.run_command(words, handler=answer_as_older)
        self.assertEqual(6, code)
        self.assertIn("does not know /v1/explain", error)
        [(code, _, error)] = self.run_command(words, hosts=["127.0.0.1:1"])
        self.assertEqual(4, code)
        self.assertIn("127.0.0.1:1: ", error)
        [(code, _, error)] = self.run_command(f"{words} --domain z")
        self.assertEqual(4, code)
        self.assertIn("no entry host of z", error)

    def test_a_control_host_says_that_it_has_another_role(self):
        refused = refusal.Refused("wrong-role", "ask an entry host")
        response = explain_http.encode(refused)

        async def answer(request):
            return response

        [(code, _, error)] = self.run_command(
            "--address 198.18.0.1 --port 443", handler=answer
        )
        self.assertEqual((421, 1), (response.status, code))
        self.assertIn("wrong-role", error)
