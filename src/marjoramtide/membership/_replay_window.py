"""The replay window of one sender."""

import attrs

WINDOW_SIZE = 512


@attrs.define(slots=True, eq=False, repr=False)
class ReplayWindow:
    """A sliding window over sequence numbers (RFC 4303, section 3.4.3).

    Each number is accepted once; numbers ``WINDOW_SIZE`` or more behind the newest are rejected.
    """

    newest: int = -1
    bitmap: int = 0

    def accept(self, sequence: int) -> bool:
        """Return whether ``sequence`` is new, and record it."""
        ahead = sequence - self.newest
        if ahead > 0:
            self.bitmap = (
                ((self.bitmap << ahead) | 1) & ((1 << WINDOW_SIZE) - 1)
                if ahead < WINDOW_SIZE
                else 1
            )
            self.newest = sequence
            return True
        if -ahead >= WINDOW_SIZE or self.bitmap >> -ahead & 1:
            return False
        self.bitmap |= 1 << -ahead
        return True
