"""How long stretches of one kind have lasted, and how long one that goes on may still last."""

from collections import deque

import attrs

# Lengths that are kept: enough to tell short stretches from long ones, few enough to follow a
# neighbour that has changed its ways within some of its stretches.
KEPT = 24


@attrs.define(slots=True, eq=False, repr=False)
class DurationHistory:
    """The lengths in seconds of the last stretches in which a server was slow."""

    lengths: deque[float] = attrs.Factory(lambda: deque(maxlen=KEPT))

    def note(self, length_s: float) -> None:
        """Take in a stretch that has ended."""
        self.lengths.append(length_s)

    def remaining_s(self, elapsed_s: float) -> float:
        """Return for how many seconds more one that began ``elapsed_s`` ago is expected to last.

        That is the mean of what was left of the known ones that lasted longer, together with one
        that lasts as long again as it has lasted. Failure without the latter: a server turns slow
        for good, no known stretch was as long, and it is waited for for ever. With it whoever has
        nothing to go by waits as long as the work would lose, and so never loses more than twice
        that (the ski rental problem).
        """
        longer = [length - elapsed_s for length in self.lengths if length > elapsed_s]
        return (sum(longer) + elapsed_s) / (len(longer) + 1)

    @property
    def mean_s(self) -> float:
        """Return the mean length, 0 while none is known."""
        return sum(self.lengths) / len(self.lengths) if self.lengths else 0.0
