"""The kinds of connection between two nodes."""

URGENT = "urgent"
ROUTINE = "routine"
CONTROL = "control"
LANES = (URGENT, ROUTINE, CONTROL)
