"""How soon a fleet learns of a change in a store that leaves a part of it without answers.

Settings, evacuations, checks and the client of the store are the product's own; the store, the
ways to it, gossip and messages between nodes are simulated in virtual time.
"""

from bench.outages._measure import OutageResult, measure_calls, measure_outage
from bench.outages._plan import Fact, OutagePlan, Scope

__all__ = [
    "Fact",
    "OutagePlan",
    "OutageResult",
    "Scope",
    "measure_calls",
    "measure_outage",
]
