"""Listening sockets whose connections have small receive buffers."""

import socket


def open_listening_socket(host: str, port: int, receive_bytes: int) -> socket.socket:
    """Return a bound socket; each connection that it accepts buffers ``receive_bytes`` unread.

    Failure: a node is busy, and hundreds of clients send on. Of each the system keeps megabytes
    that the process has not read, and counts them as the process's memory. Raises ``OSError`` if
    the address can't be bound.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Before the bind, since the window of a connection is scaled by it. Linux doubles it.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes // 2)
        listener.bind((host, port))
    except BaseException:
        listener.close()
        raise
    listener.setblocking(False)
    return listener
