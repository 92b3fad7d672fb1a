"""The HTTP connections to the store."""

import socket

import aiohttp

from marjoramtide.sockets import enable_keepalive
from marjoramtide.store._call_errors import disable_resend

MAX_CONNECTIONS = 16
KEEPALIVE_S = 10
MAX_LINE_BYTES = 2 * 1024 * 1024


def open_session() -> aiohttp.ClientSession:
    """Return a session bound to the running event loop."""
    connector = aiohttp.TCPConnector(
        limit=MAX_CONNECTIONS, keepalive_timeout=KEEPALIVE_S, socket_factory=keepalive_socket
    )
    return aiohttp.ClientSession(
        connector=connector,
        middlewares=[disable_resend],
        cookie_jar=aiohttp.DummyCookieJar(),
        read_bufsize=MAX_LINE_BYTES,
    )


def keepalive_socket(info: aiohttp.AddrInfoType) -> socket.socket:
    """Return a socket with TCP keepalive for a connection to the store.

    Without keepalive, a connection that dies without a reset looks like a watch with no changes for
    half a minute, while the node goes on with settings that were replaced long ago.
    """
    family, kind, proto, _, _ = info
    new_socket = socket.socket(family, kind, proto)
    enable_keepalive(new_socket)
    return new_socket
