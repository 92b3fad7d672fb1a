"""Whether a node can know which settings are in force."""

import math

import attrs

from marjoramtide.clock import Clock, FreezeDetector

DEFAULT_BOUND_S = 6.0


@attrs.define(slots=True, eq=False, repr=False)
class Freshness:
    """Remembers when this node last caught up with the store or another node.

    ``bound_s`` is how long, in seconds, that holds good. ``unreadable`` is a revision known to be
    in force that this node couldn't read. ``proven_at`` is a time of this node's clock at which the
    settings in force were the newest in the store. ``freeze`` must be ticking
    (``FreezeDetector.run``).
    """

    clock: Clock
    freeze: FreezeDetector
    bound_s: float = DEFAULT_BOUND_S
    caught_up_at: float | None = None
    unreadable: int = 0
    proven_at: float | None = None

    def prove(self, at: float) -> None:
        """Note that the settings in force here were the newest in the store at a time.

        Unlike ``caught_up`` this is never by the word of a node that itself has it from another
        without its age: nodes that are cut off together would go on vouching for each other.
        """
        self.proven_at = max(at, self.proven_at or at)

    @property
    def proof_age_s(self) -> float:
        """Return for how long the settings may have been replaced without this node's knowing."""
        if self.proven_at is None or self.unreadable:
            return math.inf
        return self.clock.monotonic() - self.proven_at

    @property
    def age_s(self) -> float:
        """Return how long ago this node caught up, by when it asked."""
        if self.caught_up_at is None:
            return math.inf
        return self.clock.monotonic() - self.caught_up_at

    def caught_up(self, asked_at: float) -> None:
        """Note an answer that was taken over in full.

        ``asked_at`` is when the question was sent. A process that was frozen finds answers from
        before in its sockets; dated by their arrival they would pass for news, and the node would
        serve callers by settings replaced long ago. Dated by the question they count as old.
        """
        self.caught_up_at = max(asked_at, self.caught_up_at or asked_at)

    @property
    def is_current(self) -> bool:
        """Tell whether the last catching up is within the bound, and since the last freeze.

        Both are computed at each call, not set by a task: a process that was frozen must answer
        False to the first request after it wakes, before any of its tasks has run.
        """
        now = self.clock.monotonic()
        self.freeze.was_frozen(now)
        if self.caught_up_at is None or self.unreadable:
            return False
        if self.caught_up_at < self.freeze.resumed_at:
            return False
        return now - self.caught_up_at <= self.bound_s
