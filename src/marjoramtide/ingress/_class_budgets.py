"""The budgets of second tries of one class of requests."""

import attrs

from marjoramtide.policy import RetryBudget
from marjoramtide.settings import RouteSettings

# Being turned away costs the serving node little, so a quiet service may go on asking.
REJECTIONS_PER_S = 10.0
HEDGES_PER_S = 0.2


@attrs.frozen(slots=True)
class ClassBudgets:
    """How many second tries urgent or routine requests may make.

    Failure of one budget for both: a surge of routine requests is turned away everywhere and uses
    up every second try; an urgent request that meets a dead instance first is then refused.
    """

    retries: RetryBudget
    rejections: RetryBudget
    hedges: RetryBudget


def make_class_budgets(settings: RouteSettings) -> ClassBudgets:
    """Return full budgets by the shares in the settings."""
    return ClassBudgets(
        RetryBudget(settings.retry_budget),
        RetryBudget(settings.rejection_budget, min_per_s=REJECTIONS_PER_S),
        RetryBudget(settings.hedge_budget, min_per_s=HEDGES_PER_S),
    )
