"""A backend server stand-in with slots, a connection limit and fault injection."""

from standins.backend._faults import Faults
from standins.backend._server import BackendServer, start_backend

__all__ = ["BackendServer", "Faults", "start_backend"]
