"""When a node checks the store itself."""

import random
from collections.abc import Callable

import attrs

# Interval between the checks of the node that checks, in seconds.
CHECK_INTERVAL_S = 1.05
# Age of the last check from which other nodes check as well, in seconds: the interval, and the time
# of an answer and of the second copy of its bulletin.
PATIENCE_S = 1.3
# Checks a second of all other nodes together once the patience is over.
FLEET_CHECKS_PER_S = 20.0
# The same while the store answers none of them.
MIN_FLEET_CHECKS_PER_S = 4.0
# The shortest mean pause of one node between checks that fail, in seconds. A node that has just
# started knows no other, and would take the checks of the whole fleet for its own.
MIN_RETRY_S = 1.0


@attrs.define(slots=True, eq=False, repr=False)
class CheckSchedule:
    """Decides when this node checks the store, from what it knows of other nodes' checks.

    The node that made the last check makes the next one. Whoever hears of no check for a while
    makes one at a random time: the rate of these is that of the fleet, so that in a fleet of any
    size the first of them comes soon and few come with it. No node depends on being chosen, and no
    choice is wrong for longer than the store leaves the chosen node without an answer.

    Times are in seconds of the monotonic clock. ``number``, ``checked_at`` and ``checked_by`` are
    those of the last check known, ``fleet_size`` returns the number of nodes.
    """

    own_node: str
    rng: random.Random
    fleet_size: Callable[[], int]
    checked_at: float
    next_at: float = 0.0
    number: int = 0
    checked_by: str = ""
    failures: int = 0

    @property
    def is_checker(self) -> bool:
        """Tell whether this node made the last check."""
        return self.checked_by == self.own_node

    def begin(self, now: float) -> None:
        """Start to expect checks of other nodes."""
        if not self.number:
            self.checked_at = now
        self._schedule_takeover()

    def record_own(self, asked_at: float) -> None:
        """Record that the store has answered this node, which asked it at this time."""
        self.failures = 0
        self.number += 1
        self.checked_by, self.checked_at = self.own_node, asked_at
        self.next_at = asked_at + CHECK_INTERVAL_S

    def record_heard(self, number: int, checked_by: str, checked_at: float) -> bool:
        """Record another node's check; return whether it is newer than the last one known.

        Of two checks with the same number the one of the node with the higher name counts, so that
        nodes that checked at the same moment agree on who goes on.
        """
        if (number, checked_by) <= (self.number, self.checked_by):
            return False
        self.number, self.checked_by = number, checked_by
        self.checked_at = max(self.checked_at, checked_at)
        self.failures = 0
        self._schedule_takeover()
        return True

    def record_failure(self, asked_at: float, now: float) -> None:
        """Record that the store has not answered this node, which asked it at ``asked_at``."""
        if self.checked_at >= asked_at:
            # It has answered another node meanwhile, whose check is waited for as usual.
            return
        self.failures += 1
        rate_per_s = max(MIN_FLEET_CHECKS_PER_S, FLEET_CHECKS_PER_S / 2**self.failures)
        mean_s = max(MIN_RETRY_S, self.fleet_size() / rate_per_s)
        self.next_at = now + mean_s * self.rng.uniform(0.5, 1.5)

    def _schedule_takeover(self) -> None:
        window_s = self.fleet_size() / FLEET_CHECKS_PER_S
        self.next_at = self.checked_at + PATIENCE_S + self.rng.uniform(0, window_s)
