"""TCP keepalive."""

import socket

# Seconds without data until the first keepalive probe, seconds between probes, and how many may go
# unanswered: a dead connection is detected within about 3 s, the time within which settings must be
# in force, with some reserve for reading them. A probe is one empty segment.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# For how long sent data may stay unacknowledged: the same limit while data is in transit.
USER_TIMEOUT_MS = 3000


def enable_keepalive(open_socket: socket.socket) -> None:
    """Make the kernel close a connection whose peer no longer responds.

    If a machine loses power or a link is cut, nothing resets the connection. Without keepalive, a
    reader waits for its own timeout, which for a watch of the store is half a minute.
    """
    open_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    open_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    open_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    open_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    open_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
