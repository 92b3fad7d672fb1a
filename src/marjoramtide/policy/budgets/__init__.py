"""How much may be spent on second tries and on measuring, and when should a caller come back?

Made for storms: callers and nodes that all try again at once keep a service down after its fault.
"""

from marjoramtide.policy.budgets._health_check_budget import HealthCheckBudget
from marjoramtide.policy.budgets._retry_after_hint import RetryAfterHint
from marjoramtide.policy.budgets._retry_budget import RETRY_WINDOW_S, RetryBudget
from marjoramtide.policy.budgets._token_bucket import TokenBucket

__all__ = ["RETRY_WINDOW_S", "HealthCheckBudget", "RetryAfterHint", "RetryBudget", "TokenBucket"]
