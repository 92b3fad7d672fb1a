"""The sockets that a node opens: their options, and small HTTP servers."""

from marjoramtide.sockets._app_server import AppServer
from marjoramtide.sockets._silence import notice_silence

__all__ = ["AppServer", "notice_silence"]
