"""Claims of idempotency keys: a request with a key runs at most once within the retention time."""

from marjoramtide.claims._claim_bulletin import is_claim_bulletin, pack_claim, unpack_claim
from marjoramtide.claims._claim_cleaner import ClaimCleaner, make_claim_cleaner
from marjoramtide.claims._claim_handle import ClaimHandle
from marjoramtide.claims._claim_outcome import ClaimOutcome
from marjoramtide.claims._claim_record import ClaimRecord
from marjoramtide.claims._claim_result import ClaimResult
from marjoramtide.claims._claim_state import ClaimState
from marjoramtide.claims._claims import Claims, make_claims
from marjoramtide.claims._conflict_reason import ConflictReason

__all__ = [
    "ClaimCleaner",
    "ClaimHandle",
    "ClaimOutcome",
    "ClaimRecord",
    "ClaimResult",
    "ClaimState",
    "Claims",
    "ConflictReason",
    "is_claim_bulletin",
    "make_claim_cleaner",
    "make_claims",
    "pack_claim",
    "unpack_claim",
]
