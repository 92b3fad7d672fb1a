"""The asyncio protocol of the gossip socket."""

import asyncio
from collections.abc import Callable
from typing import Any


class GossipProtocol(asyncio.DatagramProtocol):
    """Passes each datagram to ``receive`` with the sender's ``IP:PORT``."""

    def __init__(self, receive: Callable[[bytes, str], None]) -> None:
        self.receive = receive
        self.closed = asyncio.get_running_loop().create_future()

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        host, port = addr[0], addr[1]
        self.receive(data, f"[{host}]:{port}" if ":" in host else f"{host}:{port}")

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.closed.done():
            self.closed.set_result(None)
