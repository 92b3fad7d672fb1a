"""The protocols between a node and callers, backend servers, the store and the platform."""

from marjoramtide.interface._interface import Interface
from marjoramtide.interface._own import default_interface

__all__ = ["Interface", "default_interface"]
