"""Simulates in virtual time how well many nodes enforce one limit for each workspace."""

from bench.quota._play import QuotaPlan, simulate_quota
from bench.quota._tally import QuotaFigures

__all__ = ["QuotaFigures", "QuotaPlan", "simulate_quota"]
