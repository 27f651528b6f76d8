"""Plans that turn the configuration in force into the declared one."""

import hypothesis
from hypothesis import strategies
import msgspec
import testtools

from tamarack_core import configuration
from tamarack_core import declarations
from tamarack_core import requests
from tamarack_core.internal.patches import commands
from tamarack_core.internal.patches import state_machine

_classes = strategies.builds(
    lambda port, cost: {"port": port, "target_port": 8080, "cost": cost},
    strategies.integers(1, 3),
    strategies.integers(1, 3),
)
_declared = strategies.dictionaries(
    strategies.integers(1, 4),
    strategies.builds(
        lambda work, imbalance, last: (work, imbalance, last),
        strategies.dictionaries(
            strategies.sampled_from(["a", "b.c"]),
            _classes,
            min_size=1,
            max_size=1,
        ),
        strategies.integers(0, 2),
        strategies.integers(1, 2),
    ),
    max_size=4,
)


def declare(described):
    """Returns declared services that passed the check."""
    services = {
        f"s{number}": {
            "addresses": [f"192.0.{last}.{number}"],
            "classes": work,
            "target_networks": [f"10.0.{number}.0/24"],
            "weights": {"imbalance": imbalance},
        }
        for number, (work, imbalance, last) in described.items()
    }
    return declarations.check(services)


def apply(state, declared):
    """Applies a plan and returns the number of patches."""
    current = state.numbered()
    planned = declarations.plan(current.configuration, declared)
    patches = declarations.split_into_patches(planned)
    for number, batch in enumerate(patches):
        operations = msgspec.Raw(msgspec.json.encode(batch))
        version = current.version + number
        patch = requests.SubmitPatch(f"{version}", version, operations, "ana")
        state.apply(1, commands.encode(commands.Submit(patch, 0)))
        (decision,) = state.take_decisions()
        assert decision.verdict.state == "accepted", decision
    return len(patches)


class DeclarationTest(testtools.TestCase):
    """A plan gives exactly the declared services; a second one is empty."""

    @hypothesis.given(_declared, _declared)
    @hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
    def test_applying_gives_what_is_declared_and_twice_changes_nothing(
        self, first, second
    ):
        state = state_machine.PatchStateMachine()
        for described in (first, second):
            declared = declare(described)
            apply(state, declared)
            self.assertEqual(declared.services, state.checked.services)
            self.assertEqual(0, apply(state, declared))

    def test_a_large_plan_is_split_into_patches_that_are_accepted(self):
        state = state_machine.PatchStateMachine()
        many = {
            f"s{number}": {
                "addresses": [f"10.1.{number >> 8}.{number & 255}"],
                "classes": {"a": {"port": 80, "target_port": 80}},
                "target_networks": [f"10.2.{number >> 8}.{number & 255}/32"],
            }
            for number in range(1500)
        }
        declared = declarations.check(many)
        self.assertTrue(apply(state, declared) > 1)
        self.assertEqual(declared.services, state.checked.services)

    def test_a_swap_of_networks_fits_into_one_patch(self):
        state = state_machine.PatchStateMachine()
        work = {"a": {"port": 80, "target_port": 80}}
        services = {
            name: {
                "addresses": [f"192.0.2.{number}"],
                "classes": work,
                "target_networks": [f"10.0.{number}.0/24"],
            }
            for number, name in enumerate(("one", "two"), 1)
        }
        apply(state, declarations.check(services))
        one, two = services["one"], services["two"]
        one["target_networks"], two["target_networks"] = (
            two["target_networks"],
            one["target_networks"],
        )
        swapped = declarations.check(services)
        self.assertEqual(1, apply(state, swapped))
        self.assertEqual(swapped.services, state.checked.services)

    def test_the_empty_configuration_needs_no_plan(self):
        declared = declarations.DeclaredServices({})
        empty = configuration.Configuration()
        self.assertEqual([], declarations.plan(empty, declared))
