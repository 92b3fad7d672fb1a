"""Nodes report their requests in flight to a witness, another node, in case they crash."""

from marjoramtide.witness._run_teller import WitnessReporter
from marjoramtide.witness._run_witness import CrashWitness

__all__ = ["CrashWitness", "WitnessReporter"]
