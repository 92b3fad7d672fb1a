"""What a node runs for its own callers is known to another node, should it end by that."""

from marjoramtide.witness._run_teller import WitnessReporter
from marjoramtide.witness._run_witness import CrashWitness

__all__ = ["CrashWitness", "WitnessReporter"]
