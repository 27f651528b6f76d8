"""Group of hosts that own the flows of a service.

A service with few slots is balanced best by few hosts that know the load
exactly. So a group of hosts owns its flows; each host derives the group from
the live members by rendezvous hashing.
"""

from collections.abc import Iterable
import hashlib

from tamarack_core import peers

_DIGEST_BYTES = 8


def members(
    service: str, live: Iterable[peers.Peer], size: int
) -> list[peers.Peer]:
    """Returns the hosts of the group, by descending rendezvous weight.

    Args:
        service: Name of the service.
        live: Live entry hosts of the failure domain.
        size: Number of hosts in the group, at least 1.
    """
    ranked = sorted(
        live, key=lambda peer: weight(service, peer.host), reverse=True
    )
    return ranked[:size]


def weight(service: str, host: str) -> bytes:
    """Returns the pseudo-random weight of a host for a service.

    Args:
        service: Name of the service.
        host: Name of the host.
    """
    text = f"{service}\0{host}".encode()
    return hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()
