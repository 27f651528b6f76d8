"""Messages between control hosts, except those of the replicated log."""

import msgspec

from tamarack_core import requests


class PatchForward(msgspec.Struct, frozen=True, tag="patch-forward"):
    """A control host forwards an operator's patch to the leader.

    Attributes:
        token: Number that the response repeats.
        patch: The patch.
    """

    token: int
    patch: requests.SubmitPatch


class PatchResponse(msgspec.Struct, frozen=True, tag="patch-answer"):
    """Response to a `PatchForward`.

    Attributes:
        token: Token of the request.
        patch_id: Patch id of the request.
        response: The verdict; `Refused` if this forward had no effect.
    """

    token: int
    patch_id: str
    response: requests.PatchVerdict | requests.Refused


class Introduction(msgspec.Struct, frozen=True, tag="introduction"):
    """A control host that is not a voter introduces itself to the others.

    Attributes:
        incarnation: Identifier created with its data folder.
        is_blank: Whether its data folder has never held anything.
    """

    incarnation: str
    is_blank: bool


Message = PatchForward | PatchResponse | Introduction
