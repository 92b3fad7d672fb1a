"""The platform's store: the project's own stand-in, in a process of its own.

    store.py LISTEN FILE

FILE holds the operator's first configuration. Each further line on standard input is a
configuration as JSON, which is written at once; the answer `ok` acknowledges it.
"""

import asyncio
import json
import sys

from aiohttp import web

from standins.platform import PlatformStoreServer


async def main() -> None:
    server = PlatformStoreServer()
    with open(sys.argv[2]) as file:
        server.state.put("config", "main", Specification=json.load(file))
    runner = web.AppRunner(server.app(), access_log=None, shutdown_timeout=0.2)
    await runner.setup()
    host, _, port = sys.argv[1].rpartition(":")
    await web.TCPSite(runner, host, int(port)).start()
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=1 << 22)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        server.state.put("config", "main", Specification=json.loads(line))
        print("ok", flush=True)


asyncio.run(main())
