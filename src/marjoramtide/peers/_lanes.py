"""The lanes: the kinds of connection between two nodes, by what they carry."""

URGENT = "urgent"
ROUTINE = "routine"
CONTROL = "control"
# Reports of requests in flight, in one direction.
IN_FLIGHT = "runs"
LANES = (URGENT, ROUTINE, CONTROL, IN_FLIGHT)
