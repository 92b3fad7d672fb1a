"""When a backend server was sent requests lately."""

import itertools
from collections import deque

import attrs

# The longest span that a gate looks back over, in seconds.
KEPT_S = 6.0


@attrs.define(slots=True, eq=False, repr=False)
class SentRequests:
    """The times of the last ``KEPT_S`` seconds, in seconds of the monotonic clock.

    They are kept also while nothing limits the server, since it may be limited at any moment.
    """

    times: deque[float] = attrs.Factory(deque)

    def note(self, now: float) -> None:
        """Take note of a request that is sent now."""
        self.times.append(now)
        while self.times[0] <= now - KEPT_S:
            self.times.popleft()

    def since(self, began: float) -> list[float]:
        """Return the times after one, the latest first."""
        return list(itertools.takewhile(lambda at: at > began, reversed(self.times)))

    def clear(self) -> None:
        self.times.clear()
