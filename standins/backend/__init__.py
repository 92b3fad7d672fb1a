"""A backend server stand-in with slots, a connection limit and faults on command."""

from standins.backend._faults import Faults
from standins.backend._server import BackendServer, start_backend

__all__ = ["BackendServer", "Faults", "start_backend"]
