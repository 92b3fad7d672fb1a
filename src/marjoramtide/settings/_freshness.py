"""Whether a node can know which settings are in force."""

import math

import attrs

from marjoramtide.clock import Clock, FreezeDetector

DEFAULT_MAX_AGE_S = 6.0


@attrs.define(slots=True, eq=False, repr=False)
class Freshness:
    """Records when this node last caught up with the store or another node.

    ``max_age_s`` is how long, in seconds, that remains valid. ``unreadable_revision`` is a revision
    known to be in force that this node couldn't read. ``proven_at`` is the last time of this node's
    clock at which the settings in force here are known to have been the newest in the store.
    ``freeze`` must be running (``FreezeDetector.run``).
    """

    clock: Clock
    freeze: FreezeDetector
    max_age_s: float = DEFAULT_MAX_AGE_S
    caught_up_at: float | None = None
    unreadable_revision: int = 0
    proven_at: float | None = None

    def record_proof(self, at: float) -> None:
        """Record that the settings in force here were the newest in the store at this time.

        Unlike ``record_caught_up``, this never relies on a node that doesn't state the age of its
        own proof: nodes that are partitioned together would confirm each other forever.
        """
        self.proven_at = max(at, self.proven_at or at)

    @property
    def proof_age_s(self) -> float:
        """Return how long ago the settings in force here were last known to be the newest."""
        if self.proven_at is None or self.unreadable_revision:
            return math.inf
        return self.clock.monotonic() - self.proven_at

    @property
    def age_s(self) -> float:
        """Return how long ago this node caught up, counted from when it sent the request."""
        if self.caught_up_at is None:
            return math.inf
        return self.clock.monotonic() - self.caught_up_at

    def record_caught_up(self, asked_at: float) -> None:
        """Record a response that was applied completely.

        ``asked_at`` is when the request was sent. A process that was frozen finds old responses in
        its sockets; timestamped at their arrival they would count as current, and the node would
        serve callers by settings replaced long ago.
        """
        self.caught_up_at = max(asked_at, self.caught_up_at or asked_at)

    @property
    def is_current(self) -> bool:
        """Tell whether this node caught up within ``max_age_s`` and since the last freeze.

        Both are computed at each call, not set by a task: a process that was frozen must return
        False for the first request after it resumes, before any of its tasks has run.
        """
        now = self.clock.monotonic()
        self.freeze.was_frozen(now)
        if self.caught_up_at is None or self.unreadable_revision:
            return False
        if self.caught_up_at < self.freeze.resumed_at:
            return False
        return now - self.caught_up_at <= self.max_age_s
