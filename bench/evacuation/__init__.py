"""Plays how evacuations reach all nodes of a fleet, without a network, in virtual time.

Real ``EvacuationService`` objects tell each other bulletins that take time and get lost, and ask
one another as often as for the settings.
"""

from bench.evacuation._spread import SpreadPlan, SpreadResult, measure_spread

__all__ = ["SpreadPlan", "SpreadResult", "measure_spread"]
