"""Simulates the quarantine of a fleet in virtual time, without a network.

Real ``QuarantineService`` objects exchange bulletins that are delayed and may be lost.
``measure_spread`` measures how soon all nodes hold a request back. ``simulate_quarantine`` crashes
servers, by a guilty request or at random, and counts the outcomes of all requests.
"""

from bench.quarantine._news_network import BulletinNetwork
from bench.quarantine._play import (
    QuarantinePlan,
    QuarantineTally,
    SimulatedFleet,
    simulate_quarantine,
)
from bench.quarantine._spread import SpreadResult, measure_spread

__all__ = [
    "BulletinNetwork",
    "QuarantinePlan",
    "QuarantineTally",
    "SimulatedFleet",
    "SpreadResult",
    "measure_spread",
    "simulate_quarantine",
]
