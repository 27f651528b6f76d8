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

# Leaves room for the author, the note and the encoding of the command.
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
        value: New value as encoded JSON; None to remove.
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
    """Returns the operations that turn `current` into the declared services.

    Applied to `current`, the operations give exactly the declared services.
    The list is empty if nothing differs.
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
    """Splits operations into patches that a control host accepts.

    Removals come first, so that later operations can reuse the ports and
    networks that they release. A plan that fits into one patch takes effect
    as a whole; one that needs several may be in force in part.
    """
    ordered = sorted(planned, key=lambda operation: operation.op != "remove")
    if _fits(ordered):
        return [ordered] if ordered else []
    patches: list[list[Operation]] = [[]]
    size = 0
    for operation in ordered:
        length = len(msgspec.json.encode(operation)) + 1
        is_full = len(patches[-1]) >= MAX_PATCH_OPERATIONS
        if patches[-1] and (is_full or size + length > MAX_PATCH_BYTES - 2):
            patches.append([])
            size = 0
        patches[-1].append(operation)
        size += length
    return patches


def _fits(planned: list[Operation]) -> bool:
    """Returns whether the operations fit into one patch."""
    size = len(msgspec.json.encode(planned))
    return len(planned) <= MAX_PATCH_OPERATIONS and size <= MAX_PATCH_BYTES


def _plan_service(
    name: str,
    current: configuration.Service | None,
    declared: configuration.Service | None,
) -> Iterator[Operation]:
    """Yields the operations for one service."""
    path = json_pointers.join("services", name)
    if declared is None:
        yield Operation("remove", path)
    elif current is None:
        yield _with_value("add", path, declared)
    else:
        for field in _FIELDS:
            value = getattr(declared, field)
            if value != getattr(current, field):
                yield _with_value("replace", f"{path}/{field}", value)
        yield from _plan_classes(path, current.classes, declared.classes)


def _plan_classes(
    path: str,
    current: Mapping[str, configuration.WorkClass],
    declared: Mapping[str, configuration.WorkClass],
) -> Iterator[Operation]:
    """Yields the operations for the classes of one service."""
    for name in sorted({*current, *declared}):
        class_path = path + json_pointers.join("classes", name)
        if name not in declared:
            yield Operation("remove", class_path)
        elif name not in current:
            yield _with_value("add", class_path, declared[name])
        elif declared[name] != current[name]:
            yield _with_value("replace", class_path, declared[name])


def _with_value(op: str, path: str, value: object) -> Operation:
    """Returns an operation with a value."""
    return Operation(op, path, msgspec.Raw(msgspec.json.encode(value)))
