"""Measures the cost of the control plane with fleets of real node processes on loopback."""
