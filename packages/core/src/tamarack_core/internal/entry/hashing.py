"""Weight of a target for a flow, by rendezvous hash."""

import hashlib

_DIGEST_BYTES = 8


def weight(flow: bytes, target: bytes) -> bytes:
    """Returns the pseudo-random weight of a target for a flow."""
    return hashlib.blake2b(flow + target, digest_size=_DIGEST_BYTES).digest()
