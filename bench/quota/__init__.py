"""How well many nodes keep one limit for each workspace, in virtual time."""

from bench.quota._play import QuotaPlan, simulate_quota
from bench.quota._tally import QuotaFigures

__all__ = ["QuotaFigures", "QuotaPlan", "simulate_quota"]
