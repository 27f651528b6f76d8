"""Checks of a whole configuration and of changes to a validated one."""

from collections.abc import Mapping

from tamarack_core import configuration
from tamarack_core import failure
from tamarack_core.internal.validation import clash_index
from tamarack_core.internal.validation import evacuation_checks
from tamarack_core.internal.validation import json_pointers
from tamarack_core.internal.validation import service_checks

MAX_SERVICES = 65_536

_FIELDS = frozenset({"services", evacuation_checks.FIELD})


class ValidatedConfiguration:
    """A configuration that passed all checks; see the package docstring.

    Attributes:
        services: Services by name. The mapping is replaced, never modified,
            so that a reader may keep a reference to it.
        evacuated_domains: Evacuated failure domains.
        index: Ports and networks in use.
    """

    __slots__ = ("evacuated_domains", "index", "services")

    def __init__(self) -> None:
        """Initializes the empty configuration."""
        self.services: dict[str, configuration.Service] = {}
        self.evacuated_domains: tuple[str, ...] = ()
        self.index = clash_index.ClashIndex()

    def replace(
        self,
        changes: Mapping[str, configuration.Service | None],
        evacuated_domains: tuple[str, ...] | None = None,
    ) -> failure.Failure | None:
        """Replaces services if the result passes all checks.

        Args:
            changes: New services by name, each checked on its own; None
                removes the service.
            evacuated_domains: All evacuated domains, already checked; None
                leaves them unchanged.

        Returns:
            None, or the failure; the configuration then stays unchanged.
        """
        updated = dict(self.services)
        for name, service in changes.items():
            updated.pop(name, None)
            if service is not None:
                updated[name] = service
        if len(updated) > MAX_SERVICES:
            return failure.Failure(
                "too-many-services",
                f"{len(updated)} services; give at most {MAX_SERVICES}",
                "/services",
            )
        rejection = self._reindex(changes)
        if rejection is None:
            self.services = updated
            if evacuated_domains is not None:
                self.evacuated_domains = evacuated_domains
        return rejection

    def _reindex(
        self, changes: Mapping[str, configuration.Service | None]
    ) -> failure.Failure | None:
        """Updates the index, or leaves it unchanged if a service clashes."""
        replaced = {
            name: self.services[name]
            for name in changes
            if name in self.services
        }
        for service in replaced.values():
            self.index.remove(service)
        added: list[configuration.Service] = []
        for name, changed in sorted(changes.items()):
            if changed is None:
                continue
            rejection = self.index.add(name, changed)
            if rejection is not None:
                self._restore(added, replaced)
                return rejection
            added.append(changed)
        return None

    def _restore(
        self,
        added: list[configuration.Service],
        replaced: Mapping[str, configuration.Service],
    ) -> None:
        """Rolls back a change of the index after a clash."""
        for service in added:
            self.index.remove(service)
        for name, service in replaced.items():
            self.index.add(name, service)


def check(document: object) -> ValidatedConfiguration | failure.Failure:
    """Checks a whole configuration.

    Args:
        document: Decoded JSON.

    Returns:
        The validated configuration, or a failure with the pointer of the first
        invalid value in a fixed order.
    """
    fields = split(document)
    if isinstance(fields, failure.Failure):
        return fields
    services, domains = fields
    evacuated = evacuation_checks.convert_domains(domains)
    if isinstance(evacuated, failure.Failure):
        return evacuated
    converted: dict[str, configuration.Service] = {}
    for name, value in sorted(services.items()):
        service = service_checks.convert_service(name, value)
        if isinstance(service, failure.Failure):
            return service
        converted[name] = service
    checked = ValidatedConfiguration()
    rejection = checked.replace(converted, evacuated)
    return checked if rejection is None else rejection


def split(
    document: object,
) -> tuple[dict[str, object], object] | failure.Failure:
    """Splits a document into its fields, which are not checked further.

    Args:
        document: Decoded JSON.

    Returns:
        The services by name and the evacuated domains, or a failure with the
        pointer of an invalid field.
    """
    if not isinstance(document, dict):
        return failure.Failure("bad-value", "the document is not an object")
    unknown = sorted(set(document) - _FIELDS)
    if unknown:
        return failure.Failure(
            "unknown-field",
            f"unknown field {unknown[0][:80]!r}; the fields of the document"
            f" are {' and '.join(sorted(_FIELDS))}",
            json_pointers.join(unknown[0]),
        )
    services = document.get("services", {})
    if not isinstance(services, dict):
        return failure.Failure(
            "bad-value", "services is not an object", "/services"
        )
    return services, document.get(evacuation_checks.FIELD, [])
