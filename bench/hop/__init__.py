"""Measures the latency and processor time that a hop adds: ``python -m bench.hop``."""

from bench.hop._process_use import ProcessUsage, read_use

__all__ = ["ProcessUsage", "read_use"]
