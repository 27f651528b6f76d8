"""Evacuated failure domains: their targets get no new flows.

The state is replicated among the control hosts. Each applied order raises its
revision, so that a host can tell which of two states is newer.
"""

import enum

import msgspec

from tamarack_core import failure

MAX_DOMAINS = 1_000
"""Most domains that a host accepts in one state."""

MAX_NAME_CHARACTERS = 1024
"""Longest name of a failure domain, in characters."""


MAX_REVISION = 10**12
"""Highest revision that a host accepts; a thousand orders a second reach it
after 31 years. A host that accepted an absurd one would ignore all orders."""


class Action(enum.StrEnum):
    """What an order asks for."""

    START = "start"
    END = "end"


class Order(msgspec.Struct, frozen=True, array_like=True):
    """An order of an operator.

    Attributes:
        domain: Failure domain.
        action: Whether its evacuation starts or ends.
    """

    domain: str
    action: Action


class Settings(msgspec.Struct, frozen=True):
    """Settings of evacuations.

    Attributes:
        domains: Failure domains of the deployment; orders for others are
            refused.
        repeat_s: Time for which operators repeat an order that was not
            acknowledged, in seconds.
    """

    domains: frozenset[str] = frozenset()
    repeat_s: float = 0.0


class Ended(msgspec.Struct, frozen=True, array_like=True):
    """End of an evacuation; the targets of the domain may be cold since.

    Attributes:
        domain: Failure domain.
        revision: Revision of the state after the end.
        age_ms: Time since the sender applied the end, in milliseconds; 0 in
            the replicated state, which contains no times.
    """

    domain: str
    revision: int
    age_ms: int = 0


class Evacuations(msgspec.Struct, frozen=True, array_like=True):
    """Evacuated failure domains at one revision.

    Attributes:
        revision: Number of orders applied so far; 0 before the first.
        domains: Evacuated domains in alphabetical order.
        ended: Last end of the evacuation of domains that returned to service
            lately, in alphabetical order.
    """

    revision: int = 0
    domains: tuple[str, ...] = ()
    ended: tuple[Ended, ...] = ()


def is_in_force(state: Evacuations, order: Order) -> bool:
    """Returns whether an order would change no domain.

    Args:
        state: The state before the order.
        order: The order.
    """
    is_evacuated = order.domain in state.domains
    return is_evacuated == (order.action is Action.START)


def apply(state: Evacuations, order: Order) -> Evacuations:
    """Returns the state after an order; its revision rises in any case.

    Args:
        state: The state before the order.
        order: The order.
    """
    revision = state.revision + 1
    domains = set(state.domains) - {order.domain}
    ended = {end.domain: end for end in state.ended}
    if order.action is Action.START:
        domains.add(order.domain)
        ended.pop(order.domain, None)
    elif order.domain in state.domains:
        ended[order.domain] = Ended(order.domain, revision)
    return Evacuations(
        revision,
        tuple(sorted(domains)),
        tuple(ended[domain] for domain in sorted(ended)),
    )


def check(state: Evacuations) -> failure.Failure | None:
    """Returns why a state that another host sent is invalid, or None.

    Args:
        state: The state.
    """
    if not 0 <= state.revision <= MAX_REVISION:
        return failure.Failure(
            "bad-revision",
            f"revision {state.revision} is not in 0 to {MAX_REVISION}",
        )
    names = (*state.domains, *(end.domain for end in state.ended))
    if max(len(state.domains), len(state.ended)) > MAX_DOMAINS:
        return failure.Failure(
            "too-many-domains",
            f"{len(names)} domains; use at most {MAX_DOMAINS}",
        )
    if any(not 0 < end.revision <= state.revision for end in state.ended):
        return failure.Failure(
            "bad-revision", "an end is not of this revision or an earlier one"
        )
    if any(end.age_ms < 0 for end in state.ended):
        return failure.Failure("bad-age", "the age of an end is negative")
    if any(not 0 < len(name) <= MAX_NAME_CHARACTERS for name in names):
        return failure.Failure(
            "bad-domain",
            f"use domain names of 1 to {MAX_NAME_CHARACTERS} characters",
        )
    return None
