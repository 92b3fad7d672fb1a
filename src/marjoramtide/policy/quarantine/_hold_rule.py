"""From how many ends on a request is held back, and for how long."""

import attrs

# Each further end makes the hold so many times longer. A request that its caller repeats all day
# ends a server at 0, 1, 5 and 21 minutes, and then once an hour.
GROWTH = 4.0
LONGEST_HOLD_S = 3600.0


@attrs.frozen(slots=True)
class HoldRule:
    """``after`` ends of servers hold a request back for ``hold_s`` seconds; 0 ends: never.

    Two ends are enough. Among requests that were lost with two servers, and that no server has
    completed, few are innocent, and a third try costs all that runs on a third server; what an
    innocent one loses is one refusal, with when to come back.
    """

    after: int = 2
    hold_s: float = 60.0

    def hold_after(self, crashes: int) -> float:
        """Return for how many seconds a request is held back after so many ends, 0 if not."""
        if not self.after or crashes < self.after:
            return 0.0
        return float(min(LONGEST_HOLD_S, self.hold_s * GROWTH ** (crashes - self.after)))
