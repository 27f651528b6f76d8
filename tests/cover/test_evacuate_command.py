"""`tamarack evacuate` against control and entry hosts in simulated time."""

import json
from unittest import mock

from click import testing
import msgspec
import testtools

from tamarack_core import assembly
from tamarack_core import failure
from tamarack_core import requests
from tamarack_ctl import main as commands
from tamarack_ctl.internal import client
from tests import fake_hosts

SERVICE = {
    "addresses": ["192.0.2.1"],
    "classes": {"routes": {"port": 80, "target_port": 8080}},
    "target_networks": ["10.0.1.0/24"],
}
READS = {
    "/v1/status": requests.ReadStatus(),
    "/v1/configuration": requests.ReadConfiguration(),
    "/v1/rollout": requests.ReadRollout(),
    "/v1/members": requests.ReadMembers(),
    "/v1/targets": requests.ReadTargets(),
}
CONTROLS = ("c0", "c1", "c2")
ENTRIES = {"entry-a": "a", "entry-b": "b"}


def set_domains(*domains):
    """Returns the operation that sets the evacuated domains."""
    return {"op": "add", "path": "/evacuated_domains", "value": domains}


class EvacuateCommandTest(testtools.TestCase):
    """Three control hosts, and an entry host in each of two domains."""

    def setUp(self):
        super().setUp()
        voters = tuple(fake_hosts.peer(name) for name in CONTROLS)
        entries = (fake_hosts.peer(*item) for item in ENTRIES.items())
        roles = assembly.Role
        self.plans = [
            assembly.Plan(
                host,
                frozenset([roles.CONTROL if host in voters else roles.ENTRY]),
                seed,
                sources=tuple(set(voters) - {host}),
                voters=voters,
            )
            for seed, host in enumerate((*voters, *entries))
        ]
        self.network = fake_hosts.Network(self.plans)
        for plan in self.plans:
            self.network.start(plan.host.host)
        self.network.run(20.0)
        operation = {"op": "add", "path": "/services/s", "value": SERVICE}
        self.patch("first", 0, operation)
        self.network.run(10.0)
        for slots, (name, domain) in zip((2, 4), ENTRIES.items(), strict=True):
            announcement = requests.Announce(
                "s", f"10.0.1.{slots}", domain, slots=slots, lease_s=60.0
            )
            self.network.answer(name, announcement)
        # Called with each request after it was delivered; returns whether the
        # answer is lost.
        self.loses = lambda path: False
        patcher = mock.patch.object(client, "_request_one", self.request)
        patcher.start()
        self.addCleanup(patcher.stop)

    def patch(self, patch_id, base, *operations):
        """Submits a patch of another operator and returns its verdict."""
        raw = msgspec.Raw(json.dumps(operations).encode())
        request = requests.SubmitPatch(patch_id, base, raw, "bea")
        return self.network.answer("c0", request)

    def request(self, endpoint, method, path, body):
        """Replaces the HTTP request of the client."""
        hosts = {plan.host.control: plan.host.host for plan in self.plans}
        host = hosts[endpoint]
        if host not in self.network.nodes:
            return failure.Failure("no-answer", f"{host}: refused")
        request = READS.get(path)
        if request is None:
            operations = msgspec.Raw(json.dumps(body["operations"]).encode())
            request = msgspec.convert(
                {**body, "operations": operations}, requests.SubmitPatch
            )
        response = self.network.answer(host, request, 20.0)
        if self.loses(path):
            return failure.Failure("no-answer", f"{host}: timed out")
        status = 400 if isinstance(response, requests.Refused) else 200
        return client.Response(status, msgspec.to_builtins(response), endpoint)

    def run_command(self, *arguments, hosts=CONTROLS):
        """Returns exit code, decoded output and errors of a command."""
        named = [
            f"--host=127.0.0.1:{fake_hosts.peer(name).control.port}"
            for name in hosts
        ]
        result = testing.CliRunner().invoke(
            commands.main, ["evacuate", *arguments, "--json", *named]
        )
        document = json.loads(result.stdout) if result.stdout else None
        return result.exit_code, document, result.stderr

    def order(self, action, domain, **options):
        """Runs the command of an order as operator ana."""
        return self.run_command(action, domain, "--author", "ana", **options)

    def evacuated(self):
        """Returns the newest version and its evacuated domains."""
        host = min(set(CONTROLS) & set(self.network.nodes))
        read = self.network.answer(host, requests.ReadConfiguration(), 20.0)
        numbered = read.numbered
        return numbered.version, numbered.configuration.evacuated_domains

    def test_an_order_reaches_the_entry_hosts_and_its_end_too(self):
        for action, state in (("start", "evacuated"), ("end", "in service")):
            code, verdict, _ = self.order(action, "a")
            self.assertEqual((0, "accepted"), (code, verdict["state"]))
            self.network.run(10.0)
            hosts = (*CONTROLS, *ENTRIES)
            [row] = self.run_command("status", "a", hosts=hosts)[1]
            self.assertEqual(
                (state, "5 of 5"), (row["state"], row["in_force_at"])
            )

    def test_a_host_that_lags_is_named(self):
        self.network.isolate("entry-b")
        self.order("start", "a")
        self.network.run(10.0)
        hosts = (*CONTROLS, *ENTRIES)
        [row] = self.run_command("status", hosts=hosts)[1]
        self.assertEqual("entry-b", row["lagging"])

    def test_an_order_whose_answer_is_lost_is_sent_again(self):
        paths = []
        self.loses = lambda path: (
            paths.append(path) or paths.count("/v1/patches") == 1
        )
        code, verdict, _ = self.order("start", "a")
        self.assertEqual((0, 2), (code, verdict["version"]))
        self.assertEqual((2, ("a",)), self.evacuated())

    def test_a_command_without_any_verdict_may_be_run_again(self):
        self.loses = lambda path: path == "/v1/patches"
        code, _, error = self.order("start", "a")
        self.assertEqual(5, code)
        self.assertIn("run the command again", error)
        self.loses = lambda path: False
        self.assertEqual(0, self.order("start", "a")[0])
        self.assertEqual(("a",), self.evacuated()[1])

    # A start without a verdict must not take effect after an end was accepted.
    def test_an_end_makes_a_delayed_start_stale(self):
        self.assertEqual(0, self.order("end", "a")[0])
        late = self.patch("delayed", 1, set_domains("a"))
        self.assertEqual(requests.PatchState.CONFLICT, late.state)
        self.assertEqual((2, ()), self.evacuated())

    def test_an_order_beside_another_operator_keeps_both_changes(self):
        others = iter(("b", "c"))

        def interfere(path):
            # The other operator's patch comes between the read and the patch.
            other = path == "/v1/configuration" and next(others, None)
            if other:
                version, domains = self.evacuated()
                self.patch(other, version, set_domains(*domains, other))
            return False

        self.loses = interfere
        code, verdict, _ = self.order("start", "a")
        self.assertEqual((0, 4), (code, verdict["version"]))
        self.assertEqual((4, ("a", "b", "c")), self.evacuated())

    def test_evacuations_survive_a_restart_of_all_control_hosts(self):
        self.order("start", "a")
        for name in CONTROLS:
            self.network.kill(name)
        for name in CONTROLS:
            self.network.start(name)
        self.network.run(10.0)
        self.assertEqual((2, ("a",)), self.evacuated())

    def test_an_unknown_domain_needs_an_option(self):
        code, _, error = self.order("start", "aa")
        self.assertEqual(1, code)
        self.assertIn("known: a b", error)
        self.assertEqual((1, ()), self.evacuated())
        arguments = ("start", "aa", "--author", "ana", "--unknown-domain")
        self.assertEqual(0, self.run_command(*arguments)[0])
        self.assertEqual((2, ("aa",)), self.evacuated())

    def test_a_bad_name_is_refused_by_the_control_hosts(self):
        for name in ("", "a\tb", "x" * 2000):
            code, verdict, _ = self.run_command(
                "start", name, "--author", "ana", "--unknown-domain"
            )
            self.assertEqual((1, "invalid"), (code, verdict["state"]))
        self.assertEqual((1, ()), self.evacuated())

    def test_a_dry_run_states_what_moves_and_changes_nothing(self):
        arguments = ("start", "a", "--dry-run")
        code, report, error = self.run_command(*arguments, hosts=ENTRIES)
        self.assertEqual((0, ""), (code, error))
        [service] = report["services"]
        names = ("slots", "slots_moving", "share_of_slots", "slots_left")
        self.assertEqual([6, 2, 0.333, 4], [service[name] for name in names])
        self.assertEqual((1, ()), self.evacuated())

    def test_a_dry_run_warns_when_no_target_is_left(self):
        self.order("start", "b")
        self.network.run(10.0)
        arguments = ("start", "a", "--dry-run")
        code, report, error = self.run_command(*arguments, hosts=ENTRIES)
        self.assertEqual(1, code)
        self.assertEqual(0, report["services"][0]["targets_left"])
        self.assertIn("no target is left", error)

    def test_a_dry_run_that_lacks_hosts_says_so(self):
        hosts = ("c0", "entry-b")
        code, _, error = self.run_command(
            "start", "a", "--dry-run", hosts=hosts
        )
        self.assertEqual(4, code)
        self.assertIn("no entry host of a", error)

    def test_without_a_control_host_nothing_is_sent(self):
        for action in ("start", "end"):
            code, _, error = self.order(action, "a", hosts=ENTRIES)
            self.assertEqual(4, code)
            self.assertIn("nothing changed", error)

    def test_without_any_host_each_command_says_so(self):
        for name in (*CONTROLS, *ENTRIES):
            self.network.kill(name)
        for arguments in (
            ("start", "a", "--author", "ana"),
            ("end", "a", "--author", "ana"),
            ("start", "a", "--dry-run"),
            ("status",),
        ):
            code, _, error = self.run_command(*arguments)
            self.assertEqual(4, code)
            self.assertIn("c2: refused", error)

    def test_without_a_quorum_an_order_changes_nothing(self):
        self.network.kill("c1")
        self.network.kill("c2")
        self.network.run(5.0)
        self.assertEqual(4, self.order("start", "a")[0])
        for name in ("c1", "c2"):
            self.network.start(name)
        self.network.run(10.0)
        self.assertEqual((1, ()), self.evacuated())
