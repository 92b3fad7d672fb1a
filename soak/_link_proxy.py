"""A TCP proxy in front of a node's port for other nodes, whose connections can be disturbed."""

import asyncio
import contextlib
import socket
import struct

import attrs

READ_BYTES = 65536
HELD_S = 0.3


@attrs.define(slots=True, eq=False)
class LinkProxy:
    """Forwards connections to ``target``, until they are reset or fall silent.

    ``generation`` counts the times at which all open connections fell silent. While ``is_cut``,
    nothing passes, on new connections either; while ``is_held``, each read is forwarded late.
    """

    target: str
    listen: str = ""
    generation: int = 0
    is_cut: bool = False
    is_held: bool = False
    writers: set[asyncio.StreamWriter] = attrs.Factory(set)
    listener: asyncio.Server | None = None

    async def start(self, host: str) -> None:
        """Listen on a free port of ``host``."""
        self.listener = await asyncio.start_server(self.serve, host, 0)
        self.listen = "{}:{}".format(*self.listener.sockets[0].getsockname())

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        if self.listener is not None:
            self.listener.close()
        self.reset()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self.target.rpartition(":")
        try:
            remote_reader, remote_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, remote_writer}
        generation = self.generation
        await asyncio.gather(
            self.forward(reader, remote_writer, generation),
            self.forward(remote_reader, writer, generation),
        )
        self.writers -= {writer, remote_writer}

    async def forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, generation: int
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(READ_BYTES):
                if self.is_held:
                    await asyncio.sleep(HELD_S)
                if self.is_cut or generation != self.generation:
                    continue
                writer.write(data)
                await writer.drain()
        if not self.is_cut and generation == self.generation:
            writer.close()

    def reset(self) -> None:
        """Reset all open connections, in both directions."""
        for writer in self.writers:
            connection = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    def silence(self) -> None:
        """Let nothing more pass on the connections that are open; they stay open."""
        self.generation += 1

    async def disturb(self, how: str, for_s: float) -> None:
        """Disturb the links in one way for some time."""
        match how:
            case "reset":
                self.reset()
            case "silence":
                self.silence()
            case "cut":
                self.is_cut = True
                await asyncio.sleep(for_s)
                self.is_cut = False
                self.silence()
            case "hold":
                self.is_held = True
                await asyncio.sleep(for_s)
                self.is_held = False
