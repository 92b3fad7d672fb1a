"""The paths through the mesh that are measured."""

from bench.hop._call_path import CallPath
from standins.mesh import Mesh, MeshNode

METHODS = ("GET", "POST")
# Each path has its own service, so that the serving node's processor time is that of the path.
SERVICES = {"mapdesk": 1, "licencehub": 1, "case-desk": 1}
SLOTS = 50


def pid_of(node: MeshNode) -> int:
    assert node.process is not None
    return node.process.process.pid


def make_call_paths(mesh: Mesh) -> list[CallPath]:
    """Return the paths in the order in which they alternate."""
    alone, serving, forwarding = mesh.nodes
    one, two = (pid_of(alone),), (pid_of(forwarding), pid_of(serving))
    return [
        path
        for method in METHODS
        for path in (
            CallPath("direct", method, alone.plan.service, alone.backend, ()),
            CallPath("one hop", method, alone.plan.service, alone.callers, one),
            CallPath("two hops", method, serving.plan.service, forwarding.callers, two),
        )
    ]
