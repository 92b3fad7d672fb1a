"""Tokens in batches, each of which expires at its own time."""

from collections import deque

import attrs


@attrs.define(slots=True)
class TokenBatch:
    """Tokens that expire together, at a time in seconds of the monotonic clock."""

    amount: int
    expires_at: float


@attrs.define(slots=True, eq=False, repr=False)
class ExpiringTokens:
    """Takes the tokens that expire first.

    Expired tokens are lost: a node that was suspended for seconds must not spend tokens of the past
    in addition to those that others have been given since.
    """

    batches: deque[TokenBatch] = attrs.Factory(deque)

    def add(self, amount: int, expires_at: float) -> None:
        if amount > 0:
            self.batches.append(TokenBatch(amount, expires_at))

    def drop_expired(self, now: float) -> int:
        """Drop the expired tokens and return their number."""
        expired = 0
        while self.batches and self.batches[0].expires_at <= now:
            expired += self.batches.popleft().amount
        return expired

    def count(self, now: float) -> int:
        """Return how many tokens have not expired."""
        self.drop_expired(now)
        return sum(batch.amount for batch in self.batches)

    def take(self, wanted: int, now: float) -> int:
        """Take up to ``wanted`` tokens and return their number."""
        taken = 0
        while taken < wanted and self.count(now):
            batch = self.batches[0]
            part = min(batch.amount, wanted - taken)
            batch.amount -= part
            taken += part
            if not batch.amount:
                self.batches.popleft()
        return taken
