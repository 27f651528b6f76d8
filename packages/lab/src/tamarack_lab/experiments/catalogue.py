"""The named experiments."""

from tamarack_lab.experiments import balance_plans
from tamarack_lab.experiments import limit_plans
from tamarack_lab.experiments import packet_plans
from tamarack_lab.experiments import packet_run
from tamarack_lab.experiments import plans

Plan = plans.ExperimentPlan | packet_run.PacketPlan

_PLANS: tuple[Plan, ...] = (
    *balance_plans.plans(),
    *limit_plans.plans(),
    *packet_plans.plans(),
)

ALL: dict[str, Plan] = {plan.name: plan for plan in _PLANS}
