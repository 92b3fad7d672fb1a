"""A TCP proxy whose open connections can go silent; standard library only.

    proxy.py LISTEN TARGET

Commands on standard input, one a line: `silence` (nothing more passes on the connections that are
open now, and they stay open), `target HOST:PORT` (where new connections go).
"""

import asyncio
import socket
import struct
import sys


class Proxy:
    def __init__(self, target: str) -> None:
        self.target = target
        self.generation = 0
        self.kept = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        generation = self.generation
        host, _, port = self.target.rpartition(":")
        try:
            remote_reader, remote_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self.pump(reader, remote_writer, generation),
            self.pump(remote_reader, writer, generation),
        )

    async def pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, generation: int
    ) -> None:
        reset = False
        try:
            while data := await reader.read(65536):
                if generation != self.generation:
                    break
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            reset = True
        if generation != self.generation:
            self.kept.append((reader, writer))  # silent: neither data nor its end passes
            await asyncio.Event().wait()
        if reset:
            connection = writer.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        else:
            writer.close()

    async def commands(self) -> None:
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        while line := (await reader.readline()).decode().split():
            if line[0] == "silence":
                self.generation += 1
            else:
                self.target = line[1]
            print("ok", flush=True)


async def main() -> None:
    proxy = Proxy(sys.argv[2])
    host, _, port = sys.argv[1].rpartition(":")
    await asyncio.start_server(proxy.serve, host, int(port), backlog=256)
    await proxy.commands()


asyncio.run(main())
