"""Explanation of the decision about a new flow, for operators.

Entry hosts load this module when they are first asked for an explanation.
"""

import enum

import msgspec

from tamarack_core import documents


class Outcome(enum.StrEnum):
    """What would happen to the opening packet of the flow."""

    PLACED = "placed"
    REFUSED = "refused"
    DROPPED = "dropped"


class Rule(enum.StrEnum):
    """Rules of the decision, in their order."""

    DOCUMENT = "document"
    ROUTE = "route"
    SERVICE = "service"
    TARGETS = "targets"
    ADMISSION = "admission"
    CHOICE = "choice"


class Verdict(enum.StrEnum):
    """Outcome of a rule."""

    PASSED = "passed"
    REFUSED = "refused"
    DROPPED = "dropped"
    NOT_REACHED = "not-reached"


class TargetState(enum.StrEnum):
    """State of a target that affects the decision."""

    READY = "ready"
    DRAINING = "draining"
    EVACUATED = "evacuated"
    TAG_TAKEN = "tag-taken"
    DEAD = "dead"
    OVERDUE = "overdue"
    AVOIDED = "avoided"
    COLD = "cold"


class RuleReport(msgspec.Struct, frozen=True):
    """Verdict of one rule.

    Attributes:
        rule: The rule.
        verdict: Its verdict.
        detail: What the verdict is based on.
    """

    rule: Rule
    verdict: Verdict
    detail: str = ""


class TargetReport(msgspec.Struct, frozen=True):
    """A target of the service, as this host knows it.

    Attributes:
        name: Name of the target.
        domain: Its failure domain.
        states: All states that apply; only `READY` if no other does.
        slots: Requests that it runs at once.
        flows: Flows through this host that are open or being opened.
        requests: Requests in progress through this host.
        load: Load through this host including the new flow, per slot.
    """

    name: str
    domain: str
    states: tuple[TargetState, ...]
    slots: int
    flows: int
    requests: int
    load: float


class RouteReport(msgspec.Struct, frozen=True):
    """The route in force.

    Attributes:
        shares: Services with weights.
        kind: Whether its requests may be repeated.
        timeout_s: Timeout of its requests, in seconds.
    """

    shares: tuple[documents.WeightedService, ...]
    kind: documents.WorkKind
    timeout_s: float


class FlowExplanation(msgspec.Struct, frozen=True):
    """Where a new flow would go now, and why.

    Attributes:
        host: The entry host that decided.
        domain: Its failure domain.
        flow: The flow in text form.
        copy_number: Copies of the opening packet that were sent before.
        outcome: What would happen to the opening packet.
        is_stopping: Whether the host is shutting down, so that the fabric
            sends new flows to other hosts.
        target: The chosen target; empty if there is none.
        reason: Why the opening would be refused or dropped; empty if placed.
        document: Number of the document in force; 0 for none.
        document_age_s: Time since it came in force at this host, in seconds;
            None without a document.
        update_age_s: Time since the last update of a control host, in seconds;
            None if there was none.
        evacuated_domains: Evacuated failure domains.
        route: The route of the flow; None if there is none.
        service: Service of the flow; empty if there is no route.
        known_at: Target of a flow of the same caller address and port that
            this host knows already; empty if there is none.
        rules: Verdicts of all rules, in the order of the decision.
        targets: Targets of the service by name.
    """

    host: str
    domain: str
    flow: str
    copy_number: int
    outcome: Outcome
    is_stopping: bool
    target: str
    reason: str
    document: int
    document_age_s: float | None
    update_age_s: float | None
    evacuated_domains: tuple[str, ...]
    route: RouteReport | None
    service: str
    known_at: str
    rules: tuple[RuleReport, ...]
    targets: tuple[TargetReport, ...]
