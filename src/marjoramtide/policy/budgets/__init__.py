"""How much may be spent on second tries and on measuring, and when should a caller come back?

Made for storms: callers and nodes that all try again at once keep a service down after its fault.
"""

from marjoramtide.policy.budgets._come_back_hint import ComeBackHint
from marjoramtide.policy.budgets._measuring_budget import MeasuringBudget
from marjoramtide.policy.budgets._retry_budget import WINDOW_S, RetryBudget
from marjoramtide.policy.budgets._token_bucket import TokenBucket

__all__ = ["WINDOW_S", "ComeBackHint", "MeasuringBudget", "RetryBudget", "TokenBucket"]
