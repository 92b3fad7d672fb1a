"""Loopback addresses and free ports for the processes of a mesh."""

import itertools
import os
import socket
from pathlib import Path

LOWEST_PORT = 10000
FIRST_EPHEMERAL_PORT = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
candidates = itertools.cycle(range(LOWEST_PORT, FIRST_EPHEMERAL_PORT))


def loopback_host() -> str:
    """Return a loopback address of this process, so that concurrent meshes don't collide."""
    number = os.getpid()
    return f"127.{1 + (number >> 16) % 200}.{(number >> 8) % 256}.{1 + number % 254}"


def free_port(host: str) -> int:
    """Return a port that is free for TCP and UDP, outside the ephemeral port range.

    A port from that range could be taken by an outgoing connection before its server starts.
    """
    for port in itertools.islice(candidates, FIRST_EPHEMERAL_PORT - LOWEST_PORT):
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((host, port))
                udp.bind((host, port))
            except OSError:
                continue
            return port
    raise RuntimeError(f"no free port on {host}")
