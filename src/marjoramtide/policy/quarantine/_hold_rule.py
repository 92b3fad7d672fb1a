"""After how many crashes a request is held back, and for how long."""

import attrs

# Each further crash multiplies the hold by this. A request that its caller repeats all day crashes
# a server after 0, 1, 5 and 21 minutes, and then once an hour.
GROWTH = 4.0
MAX_HOLD_S = 3600.0


@attrs.frozen(slots=True)
class HoldRule:
    """``after`` crashes of servers hold a request back for ``hold_s`` seconds; 0 means never.

    Two crashes are enough. Few innocent requests are lost with two servers without being completed
    by any, and a third attempt costs everything that runs on a third server; an innocent request
    loses one rejection with a retry delay.
    """

    after: int = 2
    hold_s: float = 60.0

    def hold_s_for(self, crash_count: int) -> float:
        """Return for how many seconds a request is held back after so many crashes, 0 if not."""
        if not self.after or crash_count < self.after:
            return 0.0
        return float(min(MAX_HOLD_S, self.hold_s * GROWTH ** (crash_count - self.after)))
