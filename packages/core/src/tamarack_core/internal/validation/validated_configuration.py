"""Checks of a whole configuration and of changes to a validated one."""

from collections.abc import Mapping

from tamarack_core import configuration
from tamarack_core import failure
from tamarack_core.internal.validation import clash_index
from tamarack_core.internal.validation import json_pointers
from tamarack_core.internal.validation import service_checks

MAX_SERVICES = 65_536


class ValidatedConfiguration:
    """A configuration that passed all checks; see the package docstring.

    Attributes:
        services: Services by name. The mapping is replaced, never modified,
            so that a reader may keep a reference to it.
        index: Ports and networks in use.
    """

    __slots__ = ("index", "services")

    def __init__(self) -> None:
        """Initializes the empty configuration."""
        self.services: dict[str, configuration.Service] = {}
        self.index = clash_index.ClashIndex()

    def replace(
        self, changes: Mapping[str, configuration.Service | None]
    ) -> failure.Failure | None:
        """Replaces services if the result passes all checks.

        Args:
            changes: New services by name, each checked on its own; None
                removes the service.

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
    services = _services(document)
    if isinstance(services, failure.Failure):
        return services
    converted: dict[str, configuration.Service] = {}
    for name, value in sorted(services.items()):
        service = service_checks.convert_service(name, value)
        if isinstance(service, failure.Failure):
            return service
        converted[name] = service
    checked = ValidatedConfiguration()
    rejection = checked.replace(converted)
    return checked if rejection is None else rejection


def _services(
    document: object,
) -> dict[str, object] | failure.Failure:
    """Returns the services of a document in decoded JSON."""
    if not isinstance(document, dict):
        return failure.Failure("bad-value", "the document is not an object")
    unknown = sorted(set(document) - {"services"})
    if unknown:
        return failure.Failure(
            "unknown-field",
            f"unknown field {unknown[0][:80]!r}; the only field of the document"
            " is services",
            json_pointers.join(unknown[0]),
        )
    services = document.get("services", {})
    if not isinstance(services, dict):
        return failure.Failure(
            "bad-value", "services is not an object", "/services"
        )
    return services
