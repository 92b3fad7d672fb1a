"""Plays the quarantine of a fleet without a network, in virtual time.

Real ``QuarantineService`` objects tell each other bulletins that take time and get lost. ``spread``
measures until when all nodes hold a request back; ``play`` lets servers end, by a request or of
themselves, and counts what becomes of all others.
"""

from bench.quarantine._news_network import BulletinNetwork
from bench.quarantine._play import PlayedFleet, QuarantinePlan, Tally, simulate_quarantine
from bench.quarantine._spread import SpreadResult, measure_spread

__all__ = [
    "BulletinNetwork",
    "PlayedFleet",
    "QuarantinePlan",
    "SpreadResult",
    "Tally",
    "measure_spread",
    "simulate_quarantine",
]
