"""The retry delay of a rejected caller."""

import random

import attrs

MAX_DELAY_MS = 30_000.0
JITTER = 0.2
# Below this rate, in responses a second, the service rate is unknown and no places are assigned.
MIN_RATE_PER_S = 1.0


@attrs.define(slots=True, eq=False, repr=False)
class RetryAfterHint:
    """Assigns each rejected caller a later place than the one before.

    Failure: a thousand callers are rejected at once with the same delay; they retry at once, are
    rejected again, and the service alternates between idle and overloaded. Places are assigned at
    the rate at which the service completes requests, as in a virtual queue, so the load of retries
    equals its capacity. A node that has seen no responses yet assigns none: twenty callers rejected
    in the first moments after a start were given delays of up to 19 s, although the service was
    available after half a second. Random jitter (from ``rng``, if given) keeps ingress nodes, which
    don't know each other's places, from acting in lockstep.
    """

    rng: random.Random | None = None
    last_place_at: float = 0.0

    def next_ms(self, base_ms: float, rate_per_s: float, now: float) -> int:
        """Return milliseconds until the next free place, at least about ``base_ms``."""
        earliest = now + base_ms / 1000
        if rate_per_s < MIN_RATE_PER_S:
            self.last_place_at = earliest
        else:
            latest = now + MAX_DELAY_MS / 1000
            self.last_place_at = min(max(self.last_place_at + 1 / rate_per_s, earliest), latest)
        delay_ms = (self.last_place_at - now) * 1000
        if self.rng is not None:
            delay_ms *= self.rng.uniform(1 - JITTER, 1 + JITTER)
        return max(1, round(delay_ms))
