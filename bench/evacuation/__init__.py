"""Simulates in virtual time how an evacuation reaches all nodes of a fleet.

Real ``EvacuationService`` objects exchange bulletins that are delayed and may be lost, and query
one another as often as nodes do for the settings.
"""

from bench.evacuation._spread import SpreadPlan, SpreadResult, measure_spread

__all__ = ["SpreadPlan", "SpreadResult", "measure_spread"]
