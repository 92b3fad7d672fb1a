"""Which data centres' backend servers get no requests because an operator has evacuated them?

For updates that reach a node from several sources and in any order, and for a store that is
restored from a backup which lacks, or still contains, what the operator has changed since.
"""

from marjoramtide.policy.evacuation._evacuation_snapshot import EvacuationSnapshot
from marjoramtide.policy.evacuation._evacuation_state import EVACUATION_HOLD_S, EvacuationState

__all__ = ["EVACUATION_HOLD_S", "EvacuationSnapshot", "EvacuationState"]
