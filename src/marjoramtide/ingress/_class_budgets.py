"""Retry and hedge budgets of one priority class."""

import attrs

from marjoramtide.policy import RETRY_WINDOW_S, RetryBudget
from marjoramtide.settings import RouteSettings

# A rejection costs the serving node little, so a service with few requests may go on retrying.
REJECTIONS_PER_S = 10.0
RETRIES_PER_S = 1.0
HEDGES_PER_S = 0.2
# The shares of retries and hedges in what all nodes together may send as second attempts, and the
# seconds over which unused budget accumulates. In any 10 s at most 1.3 times the income of all
# budgets is spent, which is 0.52 of the allowance. The rest is left for nested calls of requests
# that run twice, which count at the services called, and for nodes that have not learned yet how
# many nodes share the allowance. With 10 s of accumulation nearly twice the income can be spent.
RETRY_SHARE = 0.25
HEDGE_SHARE = 0.15
ACCUMULATION_S = 3.0
# A node of a small fleet accumulates for as long as this many retries take, at most for
# ``RETRY_WINDOW_S``. A service with little traffic would never have a whole one otherwise. All
# nodes together then have at most ``RETRY_SHARE`` of the allowance of that time.
MIN_ACCUMULATED_RETRIES = 2.0
PRIORITY_CLASSES = 2


@attrs.frozen(slots=True)
class ClassBudgets:
    """How many retries and hedges urgent or routine requests may make.

    The classes have separate budgets. Failure of a shared one: a surge of routine requests is
    rejected everywhere and uses up the budget; an urgent request whose first attempt is sent to a
    crashed instance is then refused.
    """

    retries: RetryBudget
    rejections: RetryBudget
    hedges: RetryBudget

    def share_among(self, nodes: int, settings: RouteSettings) -> None:
        """Set this node's part of the rate that all ``nodes`` share whatever their own load.

        Failure: if each node allows itself one second attempt per second, whatever it serves, a
        hundred nodes send a hundred, and the service fails under them.
        """
        if settings.second_try_ratio:
            per_class = settings.second_tries_per_s / max(1, nodes) / PRIORITY_CLASSES
            self.retries.min_per_s = RETRY_SHARE * per_class
            self.retries.window_s = accumulation_s(self.retries.min_per_s)
            self.hedges.min_per_s = HEDGE_SHARE * per_class


def accumulation_s(min_per_s: float) -> float:
    """Return for how many seconds retries accumulate, by their minimum rate."""
    if min_per_s * RETRY_WINDOW_S < MIN_ACCUMULATED_RETRIES:
        return ACCUMULATION_S
    return max(ACCUMULATION_S, MIN_ACCUMULATED_RETRIES / min_per_s)


def make_class_budgets(settings: RouteSettings, since: float = 0.0) -> ClassBudgets:
    """Return budgets as the settings define them.

    What is shared by all nodes accumulates from ``since``, in seconds of the monotonic clock.
    """
    ratio = settings.second_try_ratio
    retry_share = min(settings.retry_budget, RETRY_SHARE * ratio or 1)
    hedge_share = min(settings.hedge_budget, HEDGE_SHARE * ratio or 1)
    window_s = ACCUMULATION_S if ratio else RETRY_WINDOW_S
    return ClassBudgets(
        RetryBudget(retry_share, 0.0 if ratio else RETRIES_PER_S, window_s, updated_at=since),
        RetryBudget(settings.rejection_budget, REJECTIONS_PER_S),
        RetryBudget(hedge_share, 0.0 if ratio else HEDGES_PER_S, window_s),
    )
