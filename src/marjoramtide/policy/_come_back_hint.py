"""When a refused caller should come back."""

import random

import attrs

MAX_HINT_MS = 30_000.0
SPREAD = 0.2
MIN_RATE_PER_S = 1.0


@attrs.define(slots=True)
class ComeBackHint:
    """Gives each refused caller a later place than the one before.

    Failure: a thousand callers are refused in one moment and told the same delay; they come back
    in one moment, are refused again, and the service alternates between idle and overloaded.
    Places are handed out at the rate at which the service completes requests, as in a virtual
    queue, so the returning load equals what it can do. The random spread (``rng``, where given)
    breaks the step between ingress nodes that don't know of each other's places.
    """

    rng: random.Random | None = None
    last_place: float = 0.0

    def next_ms(self, base_ms: float, rate_per_s: float, now: float) -> int:
        """Return milliseconds until the next free place, at least about ``base_ms``."""
        earliest = now + base_ms / 1000
        step = 1 / max(rate_per_s, MIN_RATE_PER_S)
        self.last_place = min(max(self.last_place + step, earliest), now + MAX_HINT_MS / 1000)
        delay_ms = (self.last_place - now) * 1000
        if self.rng is not None:
            delay_ms *= self.rng.uniform(1 - SPREAD, 1 + SPREAD)
        return max(1, round(delay_ms))
