"""Socket options and small HTTP servers."""

from marjoramtide.sockets._app_server import AppServer
from marjoramtide.sockets._silence import enable_keepalive

__all__ = ["AppServer", "enable_keepalive"]
