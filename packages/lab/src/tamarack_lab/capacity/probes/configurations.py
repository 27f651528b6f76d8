"""Costs of the configuration at hosts and voters."""

import functools
import itertools

import msgspec

from tamarack_core import configuration
from tamarack_core import requests
from tamarack_core.internal.entry import lookup
from tamarack_core.internal.patches import commands
from tamarack_core.internal.patches import state_machine
from tamarack_lab.capacity import slopes
from tamarack_lab.capacity.probes import measurement

SERVICES = (1_000, 4_000, 16_000)
CHANGES = 200
PATCHES = 50
# Keeps each patch below the largest size that the log accepts.
SERVICES_PER_FILL = 250
_SERVICES_PER_NETWORK_BYTE = 16


def service(number: int, cost: float = 1.0) -> configuration.Service:
    """Returns a service with two work classes; no two share an address.

    Args:
        number: Number of the service, below 65,536.
        cost: Work units of the class `reports`.
    """
    high, low = divmod(number, 256)
    second, rest = divmod(number, 16 * 256)
    third, block = divmod(rest, _SERVICES_PER_NETWORK_BYTE)
    return configuration.Service(
        addresses=(f"10.128.{high}.{low}",),
        target_networks=(f"172.{16 + second}.{third}.{block * 16}/28",),
        classes={
            "routes": configuration.WorkClass(
                port=80,
                target_port=8080,
                lifetime=configuration.Lifetime.LONG_LIVED,
            ),
            "reports": configuration.WorkClass(
                port=81,
                target_port=8081,
                cost=cost,
                idempotent=False,
                max_concurrent=100,
            ),
        },
    )


def document(count: int) -> bytes:
    """Returns an encoded configuration with the given number of services."""
    services = {
        f"service-{number:05}": service(number) for number in range(count)
    }
    return msgspec.json.encode(configuration.Configuration(services))


def configuration_of(count: int) -> configuration.VersionedConfiguration:
    """Returns version 1 of a configuration with that many services."""
    decoded = msgspec.json.decode(
        document(count), type=configuration.Configuration
    )
    return configuration.VersionedConfiguration(1, decoded)


def probe() -> list[slopes.Slope]:
    """Returns the slopes that this module measures."""
    measured = slopes.Source.MEASURED
    counted = slopes.Source.COUNTED
    return [
        measurement.series(
            "service_bytes", "bytes/service", measured, SERVICES, _tables_bytes
        ).fit(),
        measurement.series(
            "change_us", "us/change", measured, SERVICES, _change_us
        ).constant(),
        measurement.series(
            "voter_patch_us", "us/patch", measured, SERVICES, _patch_us
        ).constant(),
        measurement.series(
            "snapshot_bytes",
            "bytes/service",
            counted,
            SERVICES,
            _snapshot_bytes,
        ).fit(),
        measurement.series(
            "snapshot_load_us", "us/service", measured, SERVICES, _load_us
        ).fit(),
        measurement.series(
            "delta_bytes", "bytes/change", counted, SERVICES, _delta_bytes
        ).constant(),
    ]


def _tables(count: int) -> lookup.Lookup:
    """Returns the lookup tables for the given number of services."""
    return lookup.Lookup(configuration_of(count).configuration)


def _tables_bytes(count: int) -> float:
    """Returns the memory of a configuration and its lookup tables."""
    return measurement.memory_bytes(functools.partial(_tables, count))


def _change_us(count: int) -> float:
    """Returns the processor time of one change of the lookup tables in us."""

    def change(tables: lookup.Lookup) -> None:
        """Changes services one at a time."""
        for number in range(CHANGES):
            name = f"service-{number:05}"
            tables.apply({name: service(number, cost=2.0)})

    return (
        measurement.processor_us(functools.partial(_tables, count), change)
        / CHANGES
    )


def _voter_state(count: int) -> state_machine.PatchStateMachine:
    """Returns a voter's state machine with the given number of services."""
    state = state_machine.PatchStateMachine()
    for first in range(0, count, SERVICES_PER_FILL):
        last = min(first + SERVICES_PER_FILL, count)
        operations = [
            {
                "op": "add",
                "path": f"/services/service-{number:05}",
                "value": msgspec.to_builtins(service(number)),
            }
            for number in range(first, last)
        ]
        state.apply(first, _command(state.version, f"fill-{first}", operations))
    _check_accepted(state, count // SERVICES_PER_FILL)
    return state


def _check_accepted(
    state: state_machine.PatchStateMachine, expected: int
) -> None:
    """Aborts the probe unless all patches are accepted.

    Raises:
        AssertionError: A patch is not accepted, so the cost is meaningless.
    """
    verdicts = [decision.verdict for decision in state.take_decisions()]
    refused = [
        verdict
        for verdict in verdicts
        if verdict.state is not requests.PatchState.ACCEPTED
    ]
    if refused or len(verdicts) != expected:
        raise AssertionError(
            f"{len(verdicts)} verdicts, refused: {refused[:1]}"
        )


def _command(version: int, patch_id: str, operations: object) -> bytes:
    """Returns the encoded log command that submits a patch."""
    patch = requests.SubmitPatch(
        patch_id, version, msgspec.Raw(msgspec.json.encode(operations)), "ada"
    )
    return commands.encode(commands.Submit(patch, version))


def _patch_us(count: int) -> float:
    """Returns a voter's processor time to decide on one patch in us."""

    def decide(state: state_machine.PatchStateMachine) -> None:
        """Decides on patches one at a time."""
        for number in range(PATCHES):
            path = f"/services/service-{number:05}/classes/reports/cost"
            operations = [{"op": "replace", "path": path, "value": 3.0}]
            command = _command(state.version, f"p-{number}", operations)
            state.apply(count + number, command)
        _check_accepted(state, PATCHES)

    prepare = functools.partial(_voter_state, count)
    return measurement.processor_us(prepare, decide) / PATCHES


def _snapshot_bytes(count: int) -> float:
    """Returns the size of an encoded configuration in bytes."""
    return float(len(document(count)))


def _load_us(count: int) -> float:
    """Returns the time to decode a configuration and build its tables in us."""
    data = document(count)

    def load(encoded: bytes) -> None:
        """Decodes the configuration and builds the lookup tables."""
        lookup.Lookup(
            msgspec.json.decode(encoded, type=configuration.Configuration)
        )

    return measurement.processor_us(lambda: data, load)


def _delta_bytes(count: int) -> float:
    """Returns the encoded size of one changed service in bytes."""
    changed = itertools.islice(map(service, range(count)), 1)
    return float(sum(len(msgspec.json.encode(one)) for one in changed))
