"""Tokens that were handed over, each lot good until a time of its own."""

from collections import deque

import attrs


@attrs.define(slots=True)
class TokenBatch:
    """Tokens that end together, at a time in seconds of the monotonic clock."""

    amount: int
    ends_at: float


@attrs.define(slots=True, eq=False, repr=False)
class ExpiringTokens:
    """Gives out the tokens that end first.

    A lot that ends unused is lost: a node that stood still for seconds must not spend what
    belonged to a time long past beside what others were given since.
    """

    batches: deque[TokenBatch] = attrs.Factory(deque)

    def add(self, amount: int, ends_at: float) -> None:
        if amount > 0:
            self.batches.append(TokenBatch(amount, ends_at))

    def drop_ended(self, now: float) -> int:
        """Drop what is no longer good; return how many tokens those were."""
        ended = 0
        while self.batches and self.batches[0].ends_at <= now:
            ended += self.batches.popleft().amount
        return ended

    def held(self, now: float) -> int:
        """Return how many tokens are good."""
        self.drop_ended(now)
        return sum(lot.amount for lot in self.batches)

    def take(self, wanted: int, now: float) -> int:
        """Return how many of the wanted tokens could be taken."""
        taken = 0
        while taken < wanted and self.held(now):
            lot = self.batches[0]
            part = min(lot.amount, wanted - taken)
            lot.amount -= part
            taken += part
            if not lot.amount:
                self.batches.popleft()
        return taken
