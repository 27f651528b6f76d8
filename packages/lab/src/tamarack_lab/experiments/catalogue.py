"""All experiments by name."""

from tamarack_lab.experiments import balance_plans
from tamarack_lab.experiments import limit_plans
from tamarack_lab.experiments import packet_plans
from tamarack_lab.experiments import packet_run
from tamarack_lab.experiments import plans

AnyPlan = plans.ExperimentPlan | packet_run.PacketPlan

_PLANS: tuple[AnyPlan, ...] = (
    *balance_plans.plans(),
    *limit_plans.plans(),
    *packet_plans.plans(),
)

ALL: dict[str, AnyPlan] = {plan.name: plan for plan in _PLANS}
