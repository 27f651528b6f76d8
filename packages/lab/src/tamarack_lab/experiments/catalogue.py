"""The named experiments."""

from tamarack_lab.experiments import balance_plans
from tamarack_lab.experiments import limit_plans
from tamarack_lab.experiments import plans

ALL: dict[str, plans.Plan] = {
    plan.name: plan for plan in (*balance_plans.plans(), *limit_plans.plans())
}
