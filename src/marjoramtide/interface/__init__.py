"""What a node speaks with callers, backend servers, the store and whoever runs the machines."""

from marjoramtide.interface._interface import Interface
from marjoramtide.interface._own import default_interface

__all__ = ["Interface", "default_interface"]
