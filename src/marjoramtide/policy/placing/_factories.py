"""Builds the selector that the settings name."""

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
FORECASTS: dict[str, type[PredictedSelector]] = {
    "predicted": PredictedSelector,
    "forecast": ForecastSelector,
}
SELECTORS = (*FORECASTS, *BASELINES)


def make_selector(settings: RouteSettings, self_member: Member, rng: random.Random) -> Selector:
    """Build the selector that ``settings.selector`` names, for one service on one ingress node.

    Raises ``bad-settings`` for a name that isn't one of ``SELECTORS``.
    """
    if settings.selector in BASELINES:
        return BASELINES[settings.selector](rng)
    if settings.selector not in FORECASTS:
        raise unknown_policy_error("selector", settings.selector, SELECTORS, "policy.make_selector")
    ejection = OutlierEjection(settings.ejection_cap)
    # Failure: hedges begin at a quantile that more requests reach than the budget pays for. It is
    # spent on those that come first, and the ones that hang find it empty. At the quantile that
    # just as many reach, the slowest get their second try.
    hedge_quantile = max(settings.hedge_quantile, 1 - settings.hedge_budget)
    return FORECASTS[settings.selector](
        self_member=self_member,
        rng=rng,
        model=CompletionModel(settings.slots, settings.urgent_slots, settings.slow_start_s),
        ejection=ejection,
        explorer=Explorer(ejection),
        choices=max(1, settings.choices),
        spill_over=settings.spill_over,
        hedge_quantile=hedge_quantile,
    )
