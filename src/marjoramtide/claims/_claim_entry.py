"""A state of a claim that the store has yet to take in."""

import attrs

from marjoramtide.claims._claim_record import ClaimRecord


@attrs.define(slots=True, eq=False, repr=False)
class ClaimEntry:
    """The record to be stored under ``key``; ``version`` is the last one known, 0 for none.

    ``was_stored`` is true where the store had the claim before it came back from a copy.
    """

    key: str
    record: ClaimRecord
    version: int
    was_stored: bool = False
