"""Which data centres' backend servers get no work, because an operator has evacuated them?

Made for news that reaches a node on several ways and in any order, and for a store that comes back
from a copy which lacks, or still has, what the operator has written since.
"""

from marjoramtide.policy.evacuation._evacuation_snapshot import EvacuationSnapshot
from marjoramtide.policy.evacuation._evacuation_state import EVACUATION_HOLD_S, EvacuationState

__all__ = ["EVACUATION_HOLD_S", "EvacuationSnapshot", "EvacuationState"]
