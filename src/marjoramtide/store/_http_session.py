"""The connections to the store."""

import socket

import aiohttp

from marjoramtide.sockets import enable_keepalive
from marjoramtide.store._call_failed import no_resend

CONNECTIONS = 16
KEPT_IDLE_S = 10
MAX_LINE_BYTES = 2 * 1024 * 1024


def open_session() -> aiohttp.ClientSession:
    """Return a session of the running loop."""
    connector = aiohttp.TCPConnector(
        limit=CONNECTIONS, keepalive_timeout=KEPT_IDLE_S, socket_factory=silence_noticing_socket
    )
    return aiohttp.ClientSession(
        connector=connector,
        middlewares=[no_resend],
        cookie_jar=aiohttp.DummyCookieJar(),
        read_bufsize=MAX_LINE_BYTES,
    )


def silence_noticing_socket(info: aiohttp.AddrInfoType) -> socket.socket:
    """Return a socket for a connection to the store that ends when nothing answers any more.

    Failure: a connection goes silent without a reset while a watch waits on it. For half a minute
    the node takes the silence for "no change", and serves by settings replaced long ago.
    """
    family, kind, proto, _, _ = info
    made = socket.socket(family, kind, proto)
    enable_keepalive(made)
    return made
