"""Socket options, bounds of connections, and small HTTP servers."""

from marjoramtide.sockets._app_server import AppServer
from marjoramtide.sockets._bounded_connection import BoundedConnection
from marjoramtide.sockets._bounded_server import BoundedServer
from marjoramtide.sockets._listening_socket import open_listening_socket
from marjoramtide.sockets._memory_shares import ConnectionLimits, MemoryShares, memory_shares
from marjoramtide.sockets._silence import enable_keepalive

__all__ = [
    "AppServer",
    "BoundedConnection",
    "BoundedServer",
    "ConnectionLimits",
    "MemoryShares",
    "enable_keepalive",
    "memory_shares",
    "open_listening_socket",
]
