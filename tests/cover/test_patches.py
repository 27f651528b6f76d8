"""Replicated state machine that applies patches."""

import json

import hypothesis
from hypothesis import strategies
import msgspec
import testtools

from tamarack_core import requests
from tamarack_core.internal.patches import commands
from tamarack_core.internal.patches import history
from tamarack_core.internal.patches import state_machine

State = requests.PatchState


def service(number):
    """Returns a service as JSON; each number gives another one."""
    return {
        "addresses": [f"192.0.2.{number}"],
        "classes": {"routes": {"port": 80, "target_port": 8080}},
        "target_networks": [f"10.0.{number}.0/24"],
    }


def add(number):
    """Returns the operation that adds a service."""
    value = service(number)
    return {"op": "add", "path": f"/services/s{number}", "value": value}


def patch(patch_id, base_version, *operations, author="ana", note=""):
    """Returns a patch request."""
    raw = msgspec.Raw(json.dumps(operations).encode())
    return requests.SubmitPatch(patch_id, base_version, raw, author, note)


def submit(state, request, time_ms=0):
    """Applies a patch and returns its verdict."""
    command = commands.Submit(request, time_ms)
    state.apply(len(state.verdicts.by_id) + 1, commands.encode(command))
    (decision,) = state.take_decisions()
    return decision.verdict


class VerdictTest(testtools.TestCase):
    """Each patch gets one verdict, and a resend gets the same one."""

    def setUp(self):
        super().setUp()
        self.state = state_machine.PatchStateMachine()
        self.first = submit(self.state, patch("a", 0, add(1)))

    def test_an_accepted_patch_raises_the_version(self):
        self.assertEqual(
            (State.ACCEPTED, 1), (self.first.state, self.first.version)
        )
        self.assertEqual(["s1"], list(self.state.checked.services))

    def test_the_second_of_two_racing_patches_conflicts(self):
        second = submit(self.state, patch("b", 0, add(2), author="bea"))
        self.assertEqual(
            (State.CONFLICT, 1, "ana", ("/services/s1",)),
            (second.state, second.version, second.author, second.changed),
        )
        self.assertEqual(1, self.state.version)

    def test_a_resend_gets_the_first_verdict_after_a_snapshot(self):
        submit(self.state, patch("b", 1, add(2)))
        other = state_machine.PatchStateMachine()
        other.restore(self.state.snapshot())
        self.assertEqual(self.first, submit(other, patch("a", 0, add(1))))
        self.assertEqual(2, other.version)
        self.assertEqual(self.state.snapshot(), other.snapshot())

    def test_an_id_with_other_content_is_refused_by_name(self):
        reused = submit(self.state, patch("a", 1, add(2)))
        self.assertEqual(State.INVALID, reused.state)
        self.assertIn("patch-id-reused", reused.reason)
        self.assertEqual(self.first, submit(self.state, patch("a", 0, add(1))))

    def test_a_base_version_that_does_not_exist_is_invalid(self):
        verdict = submit(self.state, patch("b", 7, add(2)))
        self.assertEqual(State.INVALID, verdict.state)

    def test_a_patch_with_an_evicted_id_is_not_applied_twice(self):
        late_ms = history.ID_RETENTION_MS + 1
        submit(self.state, patch("b", 9), late_ms)
        self.assertNotIn("a", self.state.verdicts.by_id)
        again = submit(self.state, patch("a", 0, add(1)), late_ms)
        self.assertEqual(State.CONFLICT, again.state)

    def test_log_time_never_goes_back(self):
        submit(self.state, patch("b", 9), 500)
        submit(self.state, patch("c", 9), 400)
        self.assertEqual(500, self.state.verdicts.by_id["c"].time_ms)

    def test_the_history_records_author_note_and_changed_paths(self):
        submit(self.state, patch("b", 1, add(2), author="bea", note="move"))
        (entry,) = self.state.history.after(1)
        self.assertEqual(
            (2, "bea", "move", ("/services/s2",)),
            (entry.version, entry.author, entry.note, entry.changed),
        )

    def test_a_conflict_with_an_evicted_version_has_its_own_reason(self):
        for version in range(1, history.MAX_ENTRIES + 2):
            submit(self.state, patch(f"p{version}", version))
        verdict = submit(self.state, patch("late", 0, add(2)))
        self.assertEqual(State.CONFLICT, verdict.state)
        self.assertIn("older than the log", verdict.reason)


class OperationTest(testtools.TestCase):
    """A failing patch changes nothing, and its verdict has the path."""

    def assert_invalid(self, path, *operations):
        """Checks that a patch on top of service s1 is invalid at `path`."""
        state = state_machine.PatchStateMachine()
        submit(state, patch("a", 0, add(1)))
        before = state.numbered()
        verdict = submit(state, patch("b", 1, *operations))
        self.assertEqual((State.INVALID, path), (verdict.state, verdict.path))
        self.assertEqual(before, state.numbered())

    def test_a_failing_test_operation_refuses_the_whole_patch(self):
        path = "/services/s1/classes/routes/port"
        test = {"op": "test", "path": path, "value": 81}
        self.assert_invalid(path, add(2), test)

    def test_a_clash_with_another_service_is_refused(self):
        operation = add(2)
        operation["value"]["target_networks"] = ["10.0.0.0/16"]
        self.assert_invalid("/services/s2/target_networks/0", operation)

    def test_an_unknown_field_is_refused(self):
        path = "/services/s1/classes/routes/colour"
        self.assert_invalid(path, {"op": "add", "path": path, "value": 1})

    def test_repeated_copies_can_not_grow_a_document_without_bound(self):
        path = "/services/s1/classes"
        copy = {"op": "copy", "from": "/services/s1", "path": path}
        self.assert_invalid(path, *[copy] * 60)

    def test_a_deeply_nested_value_is_refused_before_traversal(self):
        value = []
        for _ in range(100):
            value = [value]
        path = "/services/s2"
        self.assert_invalid(path, {"op": "add", "path": path, "value": value})

    def test_an_operation_whose_name_is_no_text_is_refused(self):
        for name in (["add"], {"add": 1}, 5, None):
            path = "/services/s2"
            self.assert_invalid(path, {"op": name, "path": path, "value": 1})

    def test_a_number_beyond_the_range_of_floats_is_refused(self):
        for number in (10**400, -(10**400), 10**4299):
            for field in ("port", "target_port", "max_concurrent", "cost"):
                path = f"/services/s1/classes/routes/{field}"
                operation = {"op": "add", "path": path, "value": number}
                self.assert_invalid(path, operation)
            path = "/services/s1/opening_hosts"
            operation = {"op": "add", "path": path, "value": number}
            self.assert_invalid(path, operation)

    def test_moving_all_services_away_and_back_keeps_the_old_ones(self):
        port = "/x/s1/classes/routes/port"
        self.assert_invalid(
            "/services/s1/classes/routes/port",
            {"op": "move", "from": "/services", "path": "/x"},
            {"op": "replace", "path": port, "value": 0},
            {"op": "move", "from": "/x", "path": "/services"},
        )


_steps = strategies.sampled_from(
    [
        "services",
        "evacuated_domains",
        "s1",
        "s2",
        "classes",
        "routes",
        "port",
        "addresses",
        "0",
        "-",
        "x",
        "",
    ]
)
_pointers = strategies.lists(_steps, max_size=5).map(
    lambda steps: "".join("/" + step for step in steps)
)
_values = (
    strategies.none()
    | strategies.integers(-1, 70000)
    | strategies.just(service(1))
    | strategies.just(service(2))
    | strategies.just({"s1": service(1)})
    | strategies.lists(strategies.sampled_from(["a", "b", ""]), max_size=3)
)
_operations = strategies.fixed_dictionaries(
    {
        "op": strategies.sampled_from(
            ["add", "remove", "replace", "move", "copy", "test"]
        ),
        "path": _pointers,
    },
    optional={"value": _values, "from": _pointers},
)
_patches = strategies.lists(
    strategies.lists(_operations, max_size=3)
    | strategies.sampled_from([[add(1)], [add(2)]]),
    max_size=8,
)


class FuzzTest(testtools.TestCase):
    """Any patch gets a verdict, which is the same on every replica."""

    @hypothesis.given(_patches, strategies.integers(0, 8))
    @hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
    def test_replicas_agree_also_when_one_starts_from_a_snapshot(
        self, patches, restart
    ):
        one = state_machine.PatchStateMachine()
        other = state_machine.PatchStateMachine()
        accepted = 0
        for number, operations in enumerate(patches):
            if number == restart:
                other = state_machine.PatchStateMachine()
                other.restore(one.snapshot())
            request = patch(f"p{number}", one.version, *operations)
            verdict = submit(one, request, number)
            self.assertEqual(verdict, submit(other, request, number))
            accepted += verdict.state is State.ACCEPTED
        self.assertEqual(accepted, one.version)
        self.assertEqual(one.snapshot(), other.snapshot())

    @hypothesis.given(strategies.binary(max_size=40))
    @hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
    def test_a_command_of_any_bytes_is_skipped_alike(self, data):
        state = state_machine.PatchStateMachine()
        state.apply(1, data)
        self.assertEqual(0, state.version)
