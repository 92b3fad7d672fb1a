"""A suspicion against a member, until it is refuted or believed."""

import math

import attrs


@attrs.define(slots=True, eq=False, repr=False)
class Suspicion:
    """A timer that gets shorter with each independent accuser (Lifeguard, 2018, section IV-B).

    A lone accuser may itself be the slow one, so its word alone takes ``longest_s``; with
    ``confirmations`` further accusers the time falls to ``shortest_s``.
    """

    started_at: float
    shortest_s: float
    longest_s: float
    confirmations: int
    accusers: set[int] = attrs.field(factory=set)

    def confirm(self, accuser: int) -> bool:
        """Add an accuser; return whether its word is news worth passing on."""
        if accuser in self.accusers or len(self.accusers) > self.confirmations:
            return False
        self.accusers.add(accuser)
        return True

    @property
    def deadline(self) -> float:
        """Return when the suspicion is believed, in seconds of the monotonic clock."""
        if self.confirmations < 1:  # too few members for a second accuser
            return self.started_at + self.shortest_s
        extra = max(0, len(self.accusers) - 1)
        share = math.log(extra + 1) / math.log(self.confirmations + 1)
        wait = self.longest_s - (self.longest_s - self.shortest_s) * share
        return self.started_at + max(self.shortest_s, wait)
