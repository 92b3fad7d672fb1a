"""Benchmarks: load generation and trace replay against node and stand-in processes."""
