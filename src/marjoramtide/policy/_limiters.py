"""Builds the limiter that the settings name."""

import math

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.policy._adaptive_limiter import AdaptiveLimiter
from marjoramtide.policy._fixed_limiter import FixedLimiter
from marjoramtide.policy._knee_limiter import KneeLimiter
from marjoramtide.policy._limiter import Limiter
from marjoramtide.settings import RouteSettings

LIMITERS = ("adaptive", "fixed", "knee")


def make_limiter(settings: RouteSettings) -> Limiter:
    """Build the limiter; raises ``bad-settings`` for a name that isn't one of ``LIMITERS``."""
    if settings.limiter == "adaptive":
        return AdaptiveLimiter(settings.slots, settings.min_limit or math.ceil(settings.slots / 2))
    if settings.limiter == "fixed":
        return FixedLimiter(settings.slots)
    if settings.limiter == "knee":
        return KneeLimiter(settings.slots)
    raise unknown_policy("limiter", settings.limiter, LIMITERS, "policy.make_admission")


def unknown_policy(key: str, value: str, allowed: tuple[str, ...], step: str) -> MarjoramtideError:
    """Return the error for a policy of a name that there is none of."""
    message = f"{key}: {value!r} is not one of {', '.join(allowed)}"
    return MarjoramtideError(ErrorCode.BAD_SETTINGS, message, step=step)
