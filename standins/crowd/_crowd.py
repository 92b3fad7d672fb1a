"""A crowd of clients on open connections."""

import asyncio
from typing import cast

from standins.crowd._attack import Attack

CONNECTS_AT_ONCE = 50
CONNECT_TIMEOUT_S = 2.0


class CrowdClient(asyncio.Protocol):
    """One connection; it sends as fast as its peer reads, and reads nothing."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.writable = asyncio.Event()
        self.is_lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.pause_reading()
        self.transport.set_write_buffer_limits(high=0)
        self.writable.set()

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_lost = True
        self.writable.set()

    def pause_writing(self) -> None:
        self.writable.clear()

    def resume_writing(self) -> None:
        self.writable.set()

    async def send(self, attack: Attack) -> None:
        """Send everything, or as much as is taken until the connection ends."""
        pieces = [attack.start] if attack.start else []
        for data in (*pieces, *([attack.piece] * attack.pieces)):
            if self.is_lost or self.transport is None:
                return
            self.transport.write(data)
            await self.writable.wait()
            # Others of the crowd take their turn, also where each write goes through at once.
            await asyncio.sleep(attack.pause_s)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class Crowd:
    """Clients that all send the same; their connections stay open until ``close``."""

    def __init__(self, address: str, attack: Attack, clients: int) -> None:
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.attack = attack
        self.clients = [CrowdClient() for _ in range(clients)]

    async def send(self, seconds: float) -> None:
        """Let all clients connect and send, for ``seconds`` at most."""
        gate = asyncio.Semaphore(CONNECTS_AT_ONCE)
        tasks = [asyncio.create_task(self.run(client, gate)) for client in self.clients]
        _, running = await asyncio.wait(tasks, timeout=seconds)
        for task in running:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def run(self, client: CrowdClient, gate: asyncio.Semaphore) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with gate, asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(lambda: client, self.host, self.port)
        except OSError:
            return
        await client.send(self.attack)

    @property
    def open_count(self) -> int:
        """Return how many connections are still open."""
        return sum(each.transport is not None and not each.is_lost for each in self.clients)

    def close(self) -> None:
        """Abort all connections."""
        for client in self.clients:
            client.close()
