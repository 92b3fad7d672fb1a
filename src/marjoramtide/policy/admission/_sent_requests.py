"""When requests were recently sent to a backend server."""

import itertools
from collections import deque

import attrs

# The longest period that a rate limiter looks back over, in seconds.
RETENTION_S = 6.0


@attrs.define(slots=True, eq=False, repr=False)
class SentRequests:
    """The send times of the last ``RETENTION_S`` seconds, in seconds of the monotonic clock.

    They are also kept while the server is not limited, since a limit may start at any moment.
    """

    times: deque[float] = attrs.Factory(deque)

    def add(self, now: float) -> None:
        """Record a request that is sent now."""
        self.times.append(now)
        while self.times[0] <= now - RETENTION_S:
            self.times.popleft()

    def since(self, start: float) -> list[float]:
        """Return the times after ``start``, the latest first."""
        return list(itertools.takewhile(lambda at: at > start, reversed(self.times)))

    def clear(self) -> None:
        self.times.clear()
