"""A claim state that is not yet in the store."""

import attrs

from marjoramtide.claims._claim_record import ClaimRecord


@attrs.define(slots=True, eq=False, repr=False)
class PendingWrite:
    """The record to write under ``key``; ``version`` is the last known one, 0 for none.

    ``was_stored`` is true if the claim was in the store before a restore from a copy.
    """

    key: str
    record: ClaimRecord
    version: int
    was_stored: bool = False
