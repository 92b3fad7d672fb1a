"""What a node runs for its own callers is known to another node, should it end by that."""

from marjoramtide.witness._run_teller import RunTeller
from marjoramtide.witness._run_witness import RunWitness

__all__ = ["RunTeller", "RunWitness"]
