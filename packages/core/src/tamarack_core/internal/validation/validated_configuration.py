"""Checks of a whole document and of changes to one that passed."""

from collections.abc import Mapping

from tamarack_core import configuration
from tamarack_core import failure
from tamarack_core.internal.validation import clash_index
from tamarack_core.internal.validation import json_pointers
from tamarack_core.internal.validation import service_checks

MAX_SERVICES = 65_536


class ValidatedConfiguration:
    """A configuration that every entry host can put in force.

    Attributes:
        services: Services by name. The mapping is replaced, never changed, so
            that a reader may keep it.
        index: Ports and networks in use.
    """

    __slots__ = ("index", "services")

    def __init__(self) -> None:
        """Starts with the empty configuration."""
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
            None, or the failure that leaves the configuration as it was.
        """
        kept = dict(self.services)
        for name, service in changes.items():
            kept.pop(name, None)
            if service is not None:
                kept[name] = service
        if len(kept) > MAX_SERVICES:
            return failure.Failure(
                "too-many-services",
                f"{len(kept)} services; give at most {MAX_SERVICES}",
                "/services",
            )
        refused = self._reindex(changes)
        if refused is None:
            self.services = kept
        return refused

    def _reindex(
        self, changes: Mapping[str, configuration.Service | None]
    ) -> failure.Failure | None:
        """Moves the index to the changed services, or leaves it alone."""
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
            refused = self.index.add(name, changed)
            if refused is not None:
                self._restore(added, replaced)
                return refused
            added.append(changed)
        return None

    def _restore(
        self,
        added: list[configuration.Service],
        replaced: Mapping[str, configuration.Service],
    ) -> None:
        """Takes back a change of the index that met a clash."""
        for service in added:
            self.index.remove(service)
        for name, service in replaced.items():
            self.index.add(name, service)


def check(document: object) -> ValidatedConfiguration | failure.Failure:
    """Checks a whole document.

    Args:
        document: Decoded JSON.

    Returns:
        The checked configuration, or a failure with the pointer of the first
        value at fault in a fixed order.
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
    refused = checked.replace(converted)
    return checked if refused is None else refused


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
            f"unknown field {unknown[0][:80]!r}; the document has the field"
            " services alone",
            json_pointers.join(unknown[0]),
        )
    services = document.get("services", {})
    if not isinstance(services, dict):
        return failure.Failure(
            "bad-value", "services is not an object", "/services"
        )
    return services
