"""Control role of a system with one control host."""

import jsonpatch
import jsonpointer
import msgspec

from tamarack_core import configuration
from tamarack_core import effects
from tamarack_core import events
from tamarack_core import failure
from tamarack_core import reducer
from tamarack_core import requests
from tamarack_core.internal.distribution import holder
from tamarack_core.internal.distribution import polling


class SingleControl:
    """Part that accepts patches without replication.

    Attributes:
        holder: Configuration in force.
        polling: Part that puts an accepted configuration into force.
        verdicts: First verdict on each patch id.
    """

    __slots__ = ("holder", "polling", "verdicts")

    def __init__(
        self,
        configuration_holder: holder.Holder,
        distribution: polling.Polling,
    ) -> None:
        """Creates the part.

        Args:
            configuration_holder: Configuration in force.
            distribution: Puts an accepted configuration into force.
        """
        self.holder = configuration_holder
        self.polling = distribution
        self.verdicts: dict[str, requests.PatchVerdict] = {}

    def handlers(self) -> dict[reducer.Key, reducer.Handler]:
        """Returns the handlers of this part."""
        return {
            requests.SubmitPatch: self.handle_patch,
            requests.ReadConfiguration: self.handle_read,
        }

    def handle_read(self, event: events.RequestArrived) -> list[effects.Effect]:
        """Answers with the newest accepted configuration."""
        answer = requests.ConfigurationRead(self.holder.numbered)
        return [effects.Respond(event.request_id, answer)]

    def handle_patch(
        self, event: events.RequestArrived
    ) -> list[effects.Effect]:
        """Decides on a patch; a resend gets the first verdict."""
        patch = event.request
        assert isinstance(patch, requests.SubmitPatch)
        first = self.verdicts.get(patch.patch_id)
        if first is not None:
            return [effects.Respond(event.request_id, first)]
        decided, found = self._decide(event.now_s, patch)
        self.verdicts[patch.patch_id] = decided
        found.append(effects.Respond(event.request_id, decided))
        return found

    def _decide(
        self, now_s: float, patch: requests.SubmitPatch
    ) -> tuple[requests.PatchVerdict, list[effects.Effect]]:
        """Returns the verdict on a new patch and its effects."""
        version = self.holder.numbered.version
        if patch.base_version != version:
            state = requests.PatchState.CONFLICT
            return requests.PatchVerdict(state, version), []
        document = _apply(self.holder.numbered.configuration, patch)
        if isinstance(document, failure.Failure):
            state = requests.PatchState.INVALID
            verdict = requests.PatchVerdict(state, reason=document.detail)
            return verdict, []
        numbered = configuration.Numbered(version + 1, document)
        found = self.polling.put(now_s, numbered)
        state = requests.PatchState.ACCEPTED
        return requests.PatchVerdict(state, version + 1), found


def _apply(
    document: configuration.Configuration, patch: requests.SubmitPatch
) -> configuration.Configuration | failure.Failure:
    """Returns the patched document, or why the patch is invalid."""
    try:
        operations = msgspec.json.decode(patch.operations)
        plain = msgspec.to_builtins(document)
        patched = jsonpatch.apply_patch(plain, operations)
        return msgspec.convert(patched, configuration.Configuration)
    except (
        jsonpatch.JsonPatchException,
        jsonpointer.JsonPointerException,
        msgspec.DecodeError,
        TypeError,
    ) as error:
        return failure.Failure("invalid-patch", str(error))
