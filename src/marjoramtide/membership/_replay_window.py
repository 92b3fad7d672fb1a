"""Which datagrams of one sender were seen already."""

import attrs

WINDOW_SIZE = 512


@attrs.define(slots=True, eq=False, repr=False)
class ReplayWindow:
    """A sliding window over sequence numbers (RFC 4303, section 3.4.3).

    A number is accepted once; one that lies more than ``WINDOW`` behind the newest is refused.
    """

    newest: int = -1
    seen: int = 0

    def accept(self, sequence: int) -> bool:
        """Return whether ``sequence`` is new, and remember it."""
        ahead = sequence - self.newest
        if ahead > 0:
            self.seen = (
                ((self.seen << ahead) | 1) & ((1 << WINDOW_SIZE) - 1) if ahead < WINDOW_SIZE else 1
            )
            self.newest = sequence
            return True
        if -ahead >= WINDOW_SIZE or self.seen >> -ahead & 1:
            return False
        self.seen |= 1 << -ahead
        return True
