"""Suspicions that are told some time after they arose."""

from collections.abc import Iterable, Iterator

import attrs

from marjoramtide.policy import ServerEnd, Suspicion


@attrs.frozen(slots=True)
class PieceOfNews:
    """A suspicion, and when it arose in seconds of the monotonic clock."""

    suspicion: Suspicion
    arose_at: float

    def told(self, now: float) -> Suspicion:
        """Return the suspicion with its ends as long ago as they are now."""
        passed_s = now - self.arose_at
        ends = self.suspicion.ends
        aged = (ServerEnd(end.number, end.age_s + passed_s, end.ran_s) for end in ends)
        return attrs.evolve(self.suspicion, ends=tuple(aged))


@attrs.define(slots=True, eq=False, repr=False)
class GatheredNews:
    """Suspicions that wait to be told together.

    Told as if they had arisen only then, ends that were half a second apart would count as one.
    """

    pieces: list[PieceOfNews] = attrs.Factory(list)

    def add(self, suspicions: Iterable[Suspicion], now: float) -> None:
        """Take suspicions that have arisen just now."""
        self.pieces += [PieceOfNews(suspicion, now) for suspicion in suspicions]

    def told(self, now: float) -> Iterator[Suspicion]:
        """Yield them as they are to be told now."""
        return (piece.told(now) for piece in self.pieces)
