"""A mesh of processes on loopback: object store, backend servers and their nodes.

For example::

    async with Mesh(folder, make_plan({"mapdesk": 3})) as mesh:
        await mesh.wait_until_ready()
        await mesh.nodes[0].process.kill()
"""

from standins.mesh._mesh import Mesh
from standins.mesh._mesh_node import KEY, MeshNode
from standins.mesh._plan import DATA_CENTRES, NodePlan, make_plan
from standins.mesh._process import ManagedProcess, start_process

__all__ = [
    "DATA_CENTRES",
    "KEY",
    "ManagedProcess",
    "Mesh",
    "MeshNode",
    "NodePlan",
    "make_plan",
    "start_process",
]
