"""The right to run one request."""

import attrs

from marjoramtide.claims._claim_record import ClaimRecord


@attrs.define(slots=True, eq=False, repr=False)
class ClaimHandle:
    """A claim that this node holds for one attempt.

    ``dispatch_until`` is in seconds of the monotonic clock, ``version`` that of the stored claim.
    """

    key: str
    record: ClaimRecord
    version: int
    dispatch_until: float
    is_released: bool = False

    def can_dispatch(self, now: float) -> bool:
        """Tell whether the request may be sent; ask immediately before sending it.

        A node that was frozen since it got the claim may wake up after the claim's retention, when
        somebody else has cleaned it up and run the request anew: sending it then would run it
        twice. The claim is kept many times longer than a holder may take to dispatch, and the
        monotonic clock goes on while a process is stopped, so that the holder finds out. Within
        the retention nobody takes a claim over, so there an overdue holder is harmless.
        """
        return not self.is_released and now < self.dispatch_until
