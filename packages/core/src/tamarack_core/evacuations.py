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


class Evacuations(msgspec.Struct, frozen=True, array_like=True):
    """Evacuated failure domains at one revision.

    Attributes:
        revision: Number of orders applied so far; 0 before the first.
        domains: Evacuated domains in alphabetical order.
    """

    revision: int = 0
    domains: tuple[str, ...] = ()


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
    domains = set(state.domains) - {order.domain}
    if order.action is Action.START:
        domains.add(order.domain)
    return Evacuations(state.revision + 1, tuple(sorted(domains)))


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
    if len(state.domains) > MAX_DOMAINS:
        return failure.Failure(
            "too-many-domains",
            f"{len(state.domains)} domains; use at most {MAX_DOMAINS}",
        )
    if any(not 0 < len(name) <= MAX_NAME_CHARACTERS for name in state.domains):
        return failure.Failure(
            "bad-domain",
            f"use domain names of 1 to {MAX_NAME_CHARACTERS} characters",
        )
    return None
