"""The kinds of connection between two nodes."""

URGENT = "urgent"
ROUTINE = "routine"
CONTROL = "control"
# For what a node runs for its own callers; one way.
RUNS = "runs"
LANES = (URGENT, ROUTINE, CONTROL, RUNS)
