"""Measures the latency and processor time that a hop adds: ``python -m bench.hop``."""

from bench.hop._process_use import ProcessUsage, read_process_usage

__all__ = ["ProcessUsage", "read_process_usage"]
