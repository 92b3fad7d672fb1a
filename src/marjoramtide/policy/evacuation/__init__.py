"""Which data centres' backend servers get no work, because an operator has evacuated them?

Made for news that reaches a node on several ways and in any order, and for a store that comes back
from a copy which lacks, or still has, what the operator has written since.
"""

from marjoramtide.policy.evacuation._evacuated import Evacuated
from marjoramtide.policy.evacuation._evacuations import KEPT_S, Evacuations

__all__ = ["KEPT_S", "Evacuated", "Evacuations"]
