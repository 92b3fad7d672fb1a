"""Nodes report their requests in flight to a witness, another node, in case they crash."""

from marjoramtide.witness._crash_witness import CrashWitness
from marjoramtide.witness._witness_reporter import WitnessReporter

__all__ = ["CrashWitness", "WitnessReporter"]
