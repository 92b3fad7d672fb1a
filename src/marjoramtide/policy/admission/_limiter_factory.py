"""Builds the concurrency limiter that the settings name."""

import math

from marjoramtide.policy._unknown_policy import unknown_policy_error
from marjoramtide.policy.admission._adaptive_limiter import AdaptiveLimiter
from marjoramtide.policy.admission._concurrency_limiter import ConcurrencyLimiter
from marjoramtide.policy.admission._fixed_limiter import FixedLimiter
from marjoramtide.policy.admission._knee_limiter import KneeLimiter
from marjoramtide.settings import RouteSettings

LIMITERS = ("adaptive", "fixed", "knee")


def make_limiter(settings: RouteSettings) -> ConcurrencyLimiter:
    """Build the limiter; raises ``bad-settings`` for a name that is not in ``LIMITERS``."""
    if settings.limiter == "adaptive":
        return AdaptiveLimiter(settings.slots, settings.min_limit or math.ceil(settings.slots / 2))
    if settings.limiter == "fixed":
        return FixedLimiter(settings.slots)
    if settings.limiter == "knee":
        return KneeLimiter(settings.slots)
    raise unknown_policy_error("limiter", settings.limiter, LIMITERS, "policy.make_admission")
