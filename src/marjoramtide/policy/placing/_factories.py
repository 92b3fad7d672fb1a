"""Construction of the selector that the settings name."""

import random
from collections.abc import Callable

from marjoramtide.membership import Member
from marjoramtide.policy._unknown_policy import unknown_policy_error
from marjoramtide.policy.placing._completion_model import CompletionModel
from marjoramtide.policy.placing._explorer import Explorer
from marjoramtide.policy.placing._forecast_selector import ForecastSelector
from marjoramtide.policy.placing._least_outstanding import LeastOutstanding
from marjoramtide.policy.placing._outlier_ejection import OutlierEjection
from marjoramtide.policy.placing._polled_reports import PolledReports
from marjoramtide.policy.placing._predicted_selector import PredictedSelector
from marjoramtide.policy.placing._random_choice import RandomChoice
from marjoramtide.policy.placing._round_robin import RoundRobin
from marjoramtide.policy.placing._selector import Selector
from marjoramtide.policy.placing._two_choices import TwoChoices
from marjoramtide.settings import RouteSettings

BASELINES: dict[str, Callable[[random.Random], Selector]] = {
    "round-robin": RoundRobin,
    "random": RandomChoice,
    "least-outstanding": LeastOutstanding,
    "two-choices": TwoChoices,
    "polled-reports": PolledReports,
}
PREDICTORS: dict[str, type[PredictedSelector]] = {
    "predicted": PredictedSelector,
    "forecast": ForecastSelector,
}
SELECTORS = (*PREDICTORS, *BASELINES)


def make_selector(settings: RouteSettings, self_member: Member, rng: random.Random) -> Selector:
    """Return the selector that ``settings.selector`` names, for one service on one ingress node.

    Raises ``bad-settings`` if the name isn't one of ``SELECTORS``.
    """
    if settings.selector in BASELINES:
        return BASELINES[settings.selector](rng)
    if settings.selector not in PREDICTORS:
        raise unknown_policy_error("selector", settings.selector, SELECTORS, "policy.make_selector")
    ejection = OutlierEjection(settings.ejection_cap)
    # If more requests reach the quantile than the hedge budget covers, the budget is spent on the
    # first ones, and requests that hang find it empty. At the quantile that matches the budget,
    # the slowest requests are hedged.
    hedge_quantile = max(settings.hedge_quantile, 1 - settings.hedge_budget)
    return PREDICTORS[settings.selector](
        self_member=self_member,
        rng=rng,
        model=CompletionModel(settings.slots, settings.urgent_slots, settings.slow_start_s),
        ejection=ejection,
        explorer=Explorer(ejection),
        choices=max(1, settings.choices),
        spill_over=settings.spill_over,
        hedge_quantile=hedge_quantile,
    )
