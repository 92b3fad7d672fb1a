"""Noticing a connection that has gone silent."""

import socket

# Seconds without a byte until the other end is asked, between two questions, and how many of them
# may stay without an answer: a silent connection is found within about 3 s, the bound within which
# settings must be in force with some room for the reading. A question is one empty segment.
IDLE_S = 1
INTERVAL_S = 1
QUESTIONS = 2
# Milliseconds for which sent bytes may stay unacknowledged: the same bound while data is under way.
UNACKNOWLEDGED_MS = 3000


def enable_keepalive(open_socket: socket.socket) -> None:
    """Let the system end a connection whose other end no longer answers.

    Failure: a machine loses power, or a link is cut, and nothing resets the connection. Whoever
    waits on it waits until a timeout of its own, which for a waiting watch is half a minute.
    """
    open_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    open_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, IDLE_S)
    open_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, INTERVAL_S)
    open_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, QUESTIONS)
    open_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
