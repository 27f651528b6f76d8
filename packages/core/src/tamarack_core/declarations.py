"""Differences between declared services and the configuration in force."""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import itertools

import msgspec

from tamarack_core import configuration
from tamarack_core import failure
from tamarack_core.internal.patches import commands
from tamarack_core.internal.patches import operations
from tamarack_core.internal.validation import json_pointers
from tamarack_core.internal.validation import validated_configuration

# Leaves room for author, note and the frame of the command.
MAX_PATCH_BYTES = commands.MAX_OPERATIONS_BYTES
MAX_PATCH_OPERATIONS = operations.MAX_OPERATIONS

_FIELDS = tuple(
    field.name
    for field in msgspec.structs.fields(configuration.Service)
    if field.name != "classes"
)


class Operation(msgspec.Struct, frozen=True, omit_defaults=True):
    """One operation of a JSON patch (RFC 6902).

    Attributes:
        op: add, remove or replace.
        path: JSON pointer.
        value: New value as encoded JSON; empty to remove.
    """

    op: str
    path: str
    value: msgspec.Raw | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class DeclaredServices:
    """Services that passed all checks.

    Attributes:
        services: Services by name.
    """

    services: Mapping[str, configuration.Service]


def check(services: Mapping[str, object]) -> DeclaredServices | failure.Failure:
    """Checks declared services as a whole.

    Args:
        services: Decoded JSON of each service by name.
    """
    checked = validated_configuration.check({"services": dict(services)})
    if isinstance(checked, failure.Failure):
        return checked
    return DeclaredServices(checked.services)


def plan(
    current: configuration.Configuration, declared: DeclaredServices
) -> list[Operation]:
    """Returns the operations that turn `current` into what is declared.

    The operations are exact: applied to `current` they give the declared
    services and no other, and there are none if nothing differs.
    """
    names = sorted({*current.services, *declared.services})
    return list(
        itertools.chain.from_iterable(
            _plan_service(
                name, current.services.get(name), declared.services.get(name)
            )
            for name in names
        )
    )


def split_into_patches(planned: list[Operation]) -> list[list[Operation]]:
    """Splits operations into patches that a control host takes.

    Removals come first, so that what they free can be used again. Only a plan
    of more than one patch can be in force in part.
    """
    ordered = sorted(planned, key=lambda operation: operation.op != "remove")
    if _fits(ordered):
        return [ordered] if ordered else []
    found: list[list[Operation]] = [[]]
    size = 0
    for operation in ordered:
        length = len(msgspec.json.encode(operation)) + 1
        is_full = len(found[-1]) >= MAX_PATCH_OPERATIONS
        if found[-1] and (is_full or size + length > MAX_PATCH_BYTES - 2):
            found.append([])
            size = 0
        found[-1].append(operation)
        size += length
    return found


def _fits(planned: list[Operation]) -> bool:
    """Returns whether the operations fit into one patch."""
    size = len(msgspec.json.encode(planned))
    return len(planned) <= MAX_PATCH_OPERATIONS and size <= MAX_PATCH_BYTES


def _plan_service(
    name: str,
    current: configuration.Service | None,
    wanted: configuration.Service | None,
) -> Iterator[Operation]:
    """Yields the operations for one service."""
    path = json_pointers.join("services", name)
    if wanted is None:
        yield Operation("remove", path)
    elif current is None:
        yield _with_value("add", path, wanted)
    else:
        for field in _FIELDS:
            value = getattr(wanted, field)
            if value != getattr(current, field):
                yield _with_value("replace", f"{path}/{field}", value)
        yield from _plan_classes(path, current.classes, wanted.classes)


def _plan_classes(
    path: str,
    current: Mapping[str, configuration.WorkClass],
    wanted: Mapping[str, configuration.WorkClass],
) -> Iterator[Operation]:
    """Yields the operations for the classes of one service."""
    for name in sorted({*current, *wanted}):
        place = path + json_pointers.join("classes", name)
        if name not in wanted:
            yield Operation("remove", place)
        elif name not in current:
            yield _with_value("add", place, wanted[name])
        elif wanted[name] != current[name]:
            yield _with_value("replace", place, wanted[name])


def _with_value(op: str, path: str, value: object) -> Operation:
    """Returns an operation with a value."""
    return Operation(op, path, msgspec.Raw(msgspec.json.encode(value)))
