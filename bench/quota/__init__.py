"""How well many nodes keep one limit for each workspace, in virtual time."""

from bench.quota._play import QuotaPlan, play
from bench.quota._tally import QuotaFigures

__all__ = ["QuotaFigures", "QuotaPlan", "play"]
