"""Messages between control hosts beside those of the replicated log."""

import msgspec

from tamarack_core import requests


class PatchForward(msgspec.Struct, frozen=True, tag="patch-forward"):
    """A control host hands an operator's patch to the leader.

    Attributes:
        token: Number that the answer repeats.
        patch: The patch.
    """

    token: int
    patch: requests.SubmitPatch


class PatchResponse(msgspec.Struct, frozen=True, tag="patch-answer"):
    """Answer to a `PatchForward`.

    Attributes:
        token: Repeats the request.
        patch_id: Repeats the request.
        response: The verdict; `Refused` if this sending had no effect.
    """

    token: int
    patch_id: str
    response: requests.PatchVerdict | requests.Refused


class Introduction(msgspec.Struct, frozen=True, tag="introduction"):
    """A control host that is no voter names itself to the others.

    Attributes:
        incarnation: Identifier made when its data folder was created.
        is_blank: Whether its data folder has never held anything.
    """

    incarnation: str
    is_blank: bool


Message = PatchForward | PatchResponse | Introduction
