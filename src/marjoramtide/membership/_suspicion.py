"""The timer of one suspicion."""

import math

import attrs


@attrs.define(slots=True, eq=False, repr=False)
class Suspicion:
    """A timeout that shrinks with each independent accuser (Lifeguard, 2018, section IV-B).

    A single accuser may itself be the slow node, so the timeout starts at ``longest_s``; with
    ``confirmations`` further accusers it falls to ``shortest_s``.
    """

    started_at: float
    shortest_s: float
    longest_s: float
    confirmations: int
    accusers: set[int] = attrs.field(factory=set)

    def confirm(self, accuser: int) -> bool:
        """Add an accuser; return whether its suspicion should be gossiped."""
        if accuser in self.accusers or len(self.accusers) > self.confirmations:
            return False
        self.accusers.add(accuser)
        return True

    @property
    def deadline(self) -> float:
        """Return when the member is declared dead, in seconds of the monotonic clock."""
        if self.confirmations < 1:  # the fleet is too small for a second accuser
            return self.started_at + self.shortest_s
        confirmed = max(0, len(self.accusers) - 1)
        share = math.log(confirmed + 1) / math.log(self.confirmations + 1)
        timeout_s = self.longest_s - (self.longest_s - self.shortest_s) * share
        return self.started_at + max(self.shortest_s, timeout_s)
