"""The answer to asking for a claim."""

import attrs

from marjoramtide.claims._claim_handle import ClaimHandle
from marjoramtide.claims._claim_outcome import ClaimOutcome
from marjoramtide.claims._claim_record import ClaimRecord
from marjoramtide.claims._conflict_reason import ConflictReason


@attrs.frozen(slots=True)
class ClaimResult:
    """An outcome, with what belongs to it.

    ``handle`` comes with ``HELD``, ``record`` with ``RECORDED`` (state completed or unknown) and
    ``reason`` with ``CONFLICT``. ``retry_after_ms`` comes with ``UNAVAILABLE``, where the request
    certainly was not run, and with a conflict that may end. ``detail`` is for the logs.
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
