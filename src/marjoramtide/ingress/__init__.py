"""The side of a node that callers reach."""

from marjoramtide.ingress._dispatcher import Dispatcher
from marjoramtide.ingress._ingress import Ingress

__all__ = ["Dispatcher", "Ingress"]
