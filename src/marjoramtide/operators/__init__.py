"""The HTTP API for operators of a node."""

from marjoramtide.operators._app import make_operators_app
from marjoramtide.operators._node_handle import NodeHandle

__all__ = ["NodeHandle", "make_operators_app"]
