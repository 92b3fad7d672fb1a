"""The ways through the mesh of this measurement."""

from bench.hop._way import Way
from standins.mesh import Mesh, MeshNode

METHODS = ("GET", "POST")
# The serving node of each way has a service of its own, so that its processor time is the way's.
SERVICES = {"mapdesk": 1, "licencehub": 1, "case-desk": 1}
SLOTS = 50


def pid_of(node: MeshNode) -> int:
    assert node.process is not None
    return node.process.process.pid


def make_ways(mesh: Mesh) -> list[Way]:
    """Return the ways in the order in which they take turns."""
    alone, serving, forwarding = mesh.nodes
    one, two = (pid_of(alone),), (pid_of(forwarding), pid_of(serving))
    return [
        way
        for method in METHODS
        for way in (
            Way("direct", method, alone.plan.service, alone.backend, ()),
            Way("one hop", method, alone.plan.service, alone.callers, one),
            Way("two hops", method, serving.plan.service, forwarding.callers, two),
        )
    ]
