"""Permission to run a claimed request."""

import attrs

from marjoramtide.claims._claim_record import ClaimRecord


@attrs.define(slots=True, eq=False, repr=False)
class ClaimHandle:
    """A claim that this node holds for one attempt.

    ``dispatch_until`` is in seconds of the monotonic clock; ``version`` is that of the stored
    claim.
    """

    key: str
    record: ClaimRecord
    version: int
    dispatch_until: float
    is_released: bool = False

    def can_dispatch(self, now: float) -> bool:
        """Return whether the request may be sent; must be called immediately before sending it.

        A node that was suspended after acquiring the claim may resume after the retention time,
        when the claim was deleted and another attempt has run the request; sending it then would
        run it twice. The retention time is many times longer than the dispatch window, and the
        monotonic clock continues while a process is suspended, so that the holder notices. Within
        the retention time nobody takes over a claim, so an overdue holder is harmless.
        """
        return not self.is_released and now < self.dispatch_until
