"""When a refused caller should come back."""

import random

import attrs

MAX_HINT_MS = 30_000.0
SPREAD = 0.2
# Below this rate of answers, in answers a second, nothing is known that places could be dealt by.
MIN_RATE_PER_S = 1.0


@attrs.define(slots=True, eq=False, repr=False)
class RetryAfterHint:
    """Gives each refused caller a later place than the one before.

    Failure: a thousand callers are refused in one moment and told the same delay; they come back
    in one moment, are refused again, and the service alternates between idle and overloaded.
    Places are handed out at the rate at which the service completes requests, as in a virtual
    queue, so the returning load equals what it can do. A node that has seen no answers yet deals
    none out: twenty callers refused in the first moments after a start were told up to 19 s, and
    the service was there after half a second. The random spread (``rng``, where given)
    breaks the step between ingress nodes that don't know of each other's places.
    """

    rng: random.Random | None = None
    last_place: float = 0.0

    def next_ms(self, base_ms: float, rate_per_s: float, now: float) -> int:
        """Return milliseconds until the next free place, at least about ``base_ms``."""
        earliest = now + base_ms / 1000
        if rate_per_s < MIN_RATE_PER_S:
            self.last_place = earliest
        else:
            latest = now + MAX_HINT_MS / 1000
            self.last_place = min(max(self.last_place + 1 / rate_per_s, earliest), latest)
        delay_ms = (self.last_place - now) * 1000
        if self.rng is not None:
            delay_ms *= self.rng.uniform(1 - SPREAD, 1 + SPREAD)
        return max(1, round(delay_ms))
