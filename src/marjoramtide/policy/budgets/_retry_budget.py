"""The budget of second tries."""

import math

import attrs

# For how many seconds a budget saves its income, unless it is made with another figure.
RETRY_WINDOW_S = 10.0


@attrs.define(slots=True, eq=False, repr=False)
class RetryBudget:
    """A token bucket filled by first attempts; one instance each for retries and for hedges.

    Failure: servers fail, each request is tried three times, and the threefold load keeps them
    failing after the cause is gone (a retry storm). Each first attempt deposits ``share`` of a
    token and each second try takes a whole one, so second tries never exceed that share of the
    requests of the last ``window_s`` seconds: a storm can't feed itself, since a retry deposits
    nothing. ``min_per_s`` tokens a second come in besides, so that a quiet service may retry too; a
    new budget starts with what they amount to.
    """

    share: float
    min_per_s: float = 1.0
    window_s: float = RETRY_WINDOW_S
    tokens: float = attrs.field()
    updated_at: float = 0.0

    @tokens.default
    def _income_without_requests(self) -> float:
        # Not 0: the first request that a fresh node gets may be refused by a server that stalls.
        return self.min_per_s * self.window_s

    def _refresh(self, now: float) -> None:
        elapsed = max(0.0, now - self.updated_at) if self.updated_at else 0.0
        self.updated_at = now
        # Decay instead of a fixed ceiling: the balance tends to ``window_s`` seconds of income at
        # any rate of requests, so a night of success can't be saved up for a storm.
        kept = math.exp(-elapsed / self.window_s)
        self.tokens = self.tokens * kept + self.min_per_s * self.window_s * (1 - kept)

    def deposit(self, now: float) -> None:
        """Note a first attempt."""
        self._refresh(now)
        self.tokens += self.share

    def withdraw(self, now: float) -> bool:
        """Take a token for a second try; ``False`` where there is none."""
        self._refresh(now)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
