"""The budgets of second tries of one class of requests."""

import attrs

from marjoramtide.policy import RETRY_WINDOW_S, RetryBudget
from marjoramtide.settings import RouteSettings

# Being turned away costs the serving node little, so a quiet service may go on asking.
REJECTIONS_PER_S = 10.0
RETRIES_PER_S = 1.0
HEDGES_PER_S = 0.2
# Of what all nodes together may send, the parts for retries and for hedges, and for how many
# seconds they are saved. Ten seconds then see 1.3 times the income of all budgets, 0.52 of what may
# be sent. The rest is for the calls of what runs twice, which count at the services called, and for
# nodes that have not heard yet how many share. Saved for ten seconds, nearly twice the income can
# be spent: with 60 nodes in memory, whose requests all fail after 15 quiet seconds, 770 second
# tries of 1340 that were allowed, before any call of theirs is counted.
RETRIES_PART = 0.25
HEDGES_PART = 0.15
SAVED_S = 3.0
CLASSES = 2


@attrs.frozen(slots=True)
class ClassBudgets:
    """How many second tries urgent or routine requests may make.

    Failure of one budget for both: a surge of routine requests is turned away everywhere and uses
    up every second try; an urgent request that meets a dead instance first is then refused.
    """

    retries: RetryBudget
    rejections: RetryBudget
    hedges: RetryBudget

    def share_among(self, nodes: int, settings: RouteSettings) -> None:
        """Take this node's part of what all ``nodes`` may spend without requests of their own.

        Failure: each node allows itself a second try a second, whatever it serves; a hundred nodes
        send a hundred, and the service fails under them.
        """
        if settings.second_try_ratio:
            each = settings.second_tries_per_s / max(1, nodes) / CLASSES
            self.retries.min_per_s = RETRIES_PART * each
            self.hedges.min_per_s = HEDGES_PART * each


def make_class_budgets(settings: RouteSettings) -> ClassBudgets:
    """Return full budgets by the shares in the settings."""
    ratio = settings.second_try_ratio
    retry_share = min(settings.retry_budget, RETRIES_PART * ratio or 1)
    hedge_share = min(settings.hedge_budget, HEDGES_PART * ratio or 1)
    saved_s = SAVED_S if ratio else RETRY_WINDOW_S
    return ClassBudgets(
        RetryBudget(retry_share, 0.0 if ratio else RETRIES_PER_S, saved_s),
        RetryBudget(settings.rejection_budget, REJECTIONS_PER_S),
        RetryBudget(hedge_share, 0.0 if ratio else HEDGES_PER_S, saved_s),
    )
