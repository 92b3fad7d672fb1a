"""The operators' API of a node, over HTTP."""

from marjoramtide.operators._app import make_operators_app
from marjoramtide.operators._node_handle import NodeHandle
from marjoramtide.operators._server import OperatorsServer

__all__ = ["NodeHandle", "OperatorsServer", "make_operators_app"]
