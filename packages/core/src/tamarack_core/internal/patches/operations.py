"""Applies a JSON patch (RFC 6902) to the services that it names.

Only the services that a patch names, and the evacuated domains, are converted
to JSON, patched and validated again, so that the cost of a patch doesn't grow
with the configuration.
"""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import itertools

import jsonpatch
import jsonpointer
import msgspec

from tamarack_core import configuration
from tamarack_core import failure
from tamarack_core.internal.validation import evacuation_checks
from tamarack_core.internal.validation import json_pointers
from tamarack_core.internal.validation import service_checks
from tamarack_core.internal.validation import validated_configuration

MAX_OPERATIONS = 1_000
MAX_DEPTH = 16

_MOVING = ("move", "copy")
_PATCH_ERRORS = (
    jsonpatch.JsonPatchException,
    jsonpointer.JsonPointerException,
    AttributeError,
    IndexError,
    KeyError,
    TypeError,
    ValueError,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Result of a patch, each value checked by itself.

    Attributes:
        services: Services that the patch names; None for a removed one.
        evacuated_domains: All evacuated domains; None if they didn't change.
    """

    services: dict[str, configuration.Service | None]
    evacuated_domains: tuple[str, ...] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Operation:
    """One operation of a patch.

    Attributes:
        raw: The operation as decoded JSON.
        steps: Unescaped reference tokens of its path.
        source: Unescaped reference tokens of `from`; empty without one.
    """

    raw: dict[str, object]
    steps: list[str]
    source: list[str]


def parse(encoded: msgspec.Raw) -> list[Operation] | failure.Failure:
    """Returns the operations of an encoded patch.

    Returns:
        The operations, or a failure with the path of the invalid operation
        if it has one.
    """
    try:
        decoded = msgspec.json.decode(encoded)
    except (msgspec.DecodeError, RecursionError) as error:
        return failure.Failure("bad-patch", f"the patch is not JSON: {error}")
    if not isinstance(decoded, list):
        return failure.Failure("bad-patch", "a patch is an array of operations")
    if len(decoded) > MAX_OPERATIONS:
        return failure.Failure(
            "bad-patch",
            f"{len(decoded)} operations; give at most {MAX_OPERATIONS}",
        )
    parsed: list[Operation] = []
    for position, raw in enumerate(decoded):
        operation = _parse_operation(position, raw)
        if isinstance(operation, failure.Failure):
            return operation
        parsed.append(operation)
    return parsed


def apply(
    services: Mapping[str, configuration.Service],
    evacuated_domains: tuple[str, ...],
    operations: list[Operation],
) -> Changes | failure.Failure:
    """Returns what a patch changes, each value validated by itself.

    Args:
        services: The services before the patch; not modified.
        evacuated_domains: The evacuated domains before the patch.
        operations: The operations in order.
    """
    names = _names(services, operations)
    document: dict[str, object] = {
        "services": {
            name: msgspec.to_builtins(services[name])
            for name in names
            if name in services
        },
        evacuation_checks.FIELD: list(evacuated_domains),
    }
    for operation in operations:
        patched = _apply_one(document, operation.raw)
        if isinstance(patched, failure.Failure):
            return patched
        document = patched
    changes = _convert(document, names)
    if (
        isinstance(changes, Changes)
        and changes.evacuated_domains == evacuated_domains
    ):
        return Changes(changes.services)
    return changes


def changed_pointers(operations: list[Operation]) -> tuple[str, ...]:
    """Returns the pointers that a patch changes, sorted."""
    changing = [
        operation for operation in operations if operation.raw["op"] != "test"
    ]
    moved = [
        operation.source
        for operation in changing
        if operation.raw["op"] == "move"
    ]
    steps = itertools.chain((operation.steps for operation in changing), moved)
    return tuple(sorted({json_pointers.join(*path) for path in steps}))


def _parse_operation(position: int, raw: object) -> Operation | failure.Failure:
    """Returns the validated operation, or why it is invalid."""
    if not isinstance(raw, dict):
        return failure.Failure(
            "bad-patch", f"operation {position} is not an object"
        )
    path = raw.get("path")
    source = raw.get("from", "")
    steps = json_pointers.split(path) if isinstance(path, str) else None
    source_steps = (
        json_pointers.split(source) if isinstance(source, str) else None
    )
    if steps is None or source_steps is None:
        return failure.Failure(
            "bad-patch",
            f"the path or from of operation {position} is not a JSON pointer",
        )
    operation = Operation(raw, steps, source_steps)
    refused = _check_operation(operation, str(path))
    return operation if refused is None else refused


def _check_operation(operation: Operation, path: str) -> failure.Failure | None:
    """Returns why an operation is refused before it is applied, or None."""
    name = operation.raw.get("op")
    is_known = isinstance(name, str) and name in jsonpatch.JsonPatch.operations
    if not is_known:
        return failure.Failure(
            "bad-patch", f"unknown operation {str(name)[:40]!r}", path
        )
    needs_value = name in ("add", "replace", "test")
    if needs_value and "value" not in operation.raw:
        return failure.Failure("bad-patch", f"{name} has no value", path)
    if name in _MOVING and "from" not in operation.raw:
        return failure.Failure("bad-patch", f"{name} has no from", path)
    # Repeated copies to another depth could double the size of the document
    # with every operation.
    if name == "copy" and len(operation.steps) != len(operation.source):
        return failure.Failure(
            "bad-patch", "copy needs a path and a from of the same depth", path
        )
    if _depth(operation.raw.get("value")) > MAX_DEPTH:
        return failure.Failure(
            "bad-patch", f"the value is deeper than {MAX_DEPTH} levels", path
        )
    return None


def _depth(value: object) -> int:
    """Returns the number of nested levels of arrays and objects."""
    level = [value]
    for depth in itertools.count():
        level = list(itertools.chain.from_iterable(map(_children, level)))
        if not level:
            return depth
    raise AssertionError("a JSON value has a finite depth")


def _children(value: object) -> Iterator[object]:
    """Yields the members of an array or object."""
    if isinstance(value, dict):
        yield from value.values()
    elif isinstance(value, list):
        yield from value


def _names(
    services: Mapping[str, configuration.Service],
    operations: list[Operation],
) -> list[str]:
    """Returns the sorted names of the services that may change."""
    paths = list(
        itertools.chain.from_iterable(
            (operation.steps, operation.source)
            if operation.raw["op"] in _MOVING
            else (operation.steps,)
            for operation in operations
        )
    )
    # Otherwise an evacuation would convert and distribute all services.
    paths = [path for path in paths if path[:1] != [evacuation_checks.FIELD]]
    named = {path[1] for path in paths if len(path) > 1}
    if any(len(path) < 2 for path in paths):
        named.update(services)
    return sorted(named)


def _apply_one(
    document: dict[str, object], raw: dict[str, object]
) -> dict[str, object] | failure.Failure:
    """Applies one operation in place.

    The caller must own the document and drop it after a failure.
    """
    path = str(raw["path"])
    try:
        patched = jsonpatch.JsonPatch([raw]).apply(document, in_place=True)
    except _PATCH_ERRORS as error:
        return failure.Failure("patch-failed", _sentence(error), path)
    if not isinstance(patched, dict):
        return failure.Failure(
            "bad-value", "the document is not an object", path
        )
    return patched


def _sentence(error: Exception) -> str:
    """Returns the message of a patch error, shortened to one line."""
    text = " ".join(str(error).split())
    return text[:200] or type(error).__name__


def _convert(
    document: dict[str, object], names: list[str]
) -> Changes | failure.Failure:
    """Returns the validated fields of a patched document."""
    fields = validated_configuration.split(document)
    if isinstance(fields, failure.Failure):
        return fields
    patched, domains = fields
    evacuated = evacuation_checks.convert_domains(domains)
    if isinstance(evacuated, failure.Failure):
        return evacuated
    services: dict[str, configuration.Service | None] = dict.fromkeys(names)
    for name, value in sorted(patched.items()):
        service = service_checks.convert_service(name, value)
        if isinstance(service, failure.Failure):
            return service
        services[name] = service
    return Changes(services, evacuated)
