"""Suspicions that are told some time after they arose."""

from collections.abc import Iterable, Iterator

import attrs

from marjoramtide.policy import ServerCrash, SuspectReport


@attrs.frozen(slots=True)
class PieceOfNews:
    """A suspicion, and when it arose in seconds of the monotonic clock."""

    suspicion: SuspectReport
    arose_at: float

    def told(self, now: float) -> SuspectReport:
        """Return the suspicion with its ends as long ago as they are now."""
        passed_s = now - self.arose_at
        crashes = self.suspicion.crashes
        aged = (ServerCrash(end.number, end.age_s + passed_s, end.ran_s) for end in crashes)
        return attrs.evolve(self.suspicion, crashes=tuple(aged))


@attrs.define(slots=True, eq=False, repr=False)
class GatheredNews:
    """Suspicions that wait to be told together.

    Told as if they had arisen only then, ends that were half a second apart would count as one.
    """

    pieces: list[PieceOfNews] = attrs.Factory(list)

    def add(self, suspicions: Iterable[SuspectReport], now: float) -> None:
        """Take suspicions that have arisen just now."""
        self.pieces += [PieceOfNews(suspicion, now) for suspicion in suspicions]

    def told(self, now: float) -> Iterator[SuspectReport]:
        """Yield them as they are to be told now."""
        return (piece.told(now) for piece in self.pieces)
