"""The result of acquiring a claim."""

import attrs

from marjoramtide.claims._claim_handle import ClaimHandle
from marjoramtide.claims._claim_outcome import ClaimOutcome
from marjoramtide.claims._claim_record import ClaimRecord
from marjoramtide.claims._conflict_reason import ConflictReason


@attrs.frozen(slots=True)
class ClaimResult:
    """An outcome and its details.

    ``handle`` is set for ``HELD``, ``record`` for ``RECORDED`` (state completed or unknown) and
    ``reason`` for ``CONFLICT``. ``retry_after_ms`` is set for ``UNAVAILABLE``, when the request
    certainly did not run, and for a conflict that may be temporary. ``detail`` is for the logs.
    """

    outcome: ClaimOutcome
    handle: ClaimHandle | None = None
    record: ClaimRecord | None = None
    reason: ConflictReason | None = None
    retry_after_ms: int = 0
    detail: str = ""

    @property
    def can_run(self) -> bool:
        return self.outcome in (ClaimOutcome.HELD, ClaimOutcome.HELD_UNCLAIMED)
