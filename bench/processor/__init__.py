"""Measures the CPU time of a node by cause: ``python -m bench.processor``."""
