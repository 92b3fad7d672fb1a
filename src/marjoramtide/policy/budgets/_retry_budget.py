"""The budget of retries or hedges."""

import math

import attrs

# The time constant, in seconds, over which a budget accumulates tokens by default.
RETRY_WINDOW_S = 10.0


@attrs.define(slots=True, eq=False, repr=False)
class RetryBudget:
    """A token bucket filled by first attempts; one instance each for retries and for hedges.

    Failure: servers fail, each request is attempted three times, and the threefold load keeps them
    failing after the cause is gone (a retry storm). Each first attempt deposits ``share`` of a
    token and each second attempt takes a whole one, so second attempts never exceed that share of
    the requests of the last ``window_s`` seconds: a storm can't sustain itself, since a retry
    deposits nothing. In addition ``min_per_s`` tokens are added a second, so that a service with
    little traffic may retry too; a new budget starts with ``window_s`` seconds of them.
    ``updated_at`` is when the balance was last computed, in seconds of the monotonic clock, 0 for
    never.
    """

    share: float
    min_per_s: float = 1.0
    window_s: float = RETRY_WINDOW_S
    tokens: float = attrs.field()
    updated_at: float = 0.0

    @tokens.default
    def _initial_tokens(self) -> float:
        # Not 0: the first request of a new node may be rejected by a stalled server.
        return self.min_per_s * self.window_s

    def _refresh(self, now: float) -> None:
        elapsed = max(0.0, now - self.updated_at) if self.updated_at else 0.0
        self.updated_at = now
        # Decay instead of a fixed maximum: the balance tends to ``window_s`` seconds of deposits at
        # any request rate, so tokens can't be saved up for hours before a storm.
        decay = math.exp(-elapsed / self.window_s)
        self.tokens = self.tokens * decay + self.min_per_s * self.window_s * (1 - decay)

    def deposit(self, now: float) -> None:
        """Record a first attempt."""
        self._refresh(now)
        self.tokens += self.share

    def withdraw(self, now: float) -> bool:
        """Take a token for a second attempt; return ``False`` if there is none."""
        self._refresh(now)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
