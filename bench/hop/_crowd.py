"""Generates calls in an open loop at a constant rate, or in a closed loop."""

import asyncio
import itertools
import time
from collections.abc import Callable, Sequence
from functools import partial

from bench.hop._call_path import TIMEOUT_MS, CallPath
from bench.hop._connection import Connection

CONNECTIONS_PER_PATH = 16


class CallGenerator:
    """Keeps a pool of connections for each path and sends calls over idle ones."""

    def __init__(self, call_paths: Sequence[CallPath]) -> None:
        self.call_paths = call_paths
        self.idle_connections: dict[CallPath, list[Connection]] = {path: [] for path in call_paths}
        self.request_numbers = itertools.count()
        self.in_progress = 0
        self.all_done = asyncio.Event()

    async def connect(self, per_path: int = CONNECTIONS_PER_PATH) -> None:
        """Open the connections of each path in advance, so that no call includes a connect."""
        loop = asyncio.get_running_loop()
        for path in self.call_paths:
            host, _, port = path.address.rpartition(":")
            for _ in range(per_path):
                _, connection = await loop.create_connection(Connection, host, int(port))
                self.idle_connections[path].append(connection)

    async def run_open_loop(self, per_s: float, seconds: float) -> None:
        """Call the paths in turn, each call at its planned time.

        Latency counts from the planned time, so that a stall shows in all calls that it delays. The
        paths alternate with each call, so that noise of the machine affects all of them equally.
        """
        start = time.monotonic() + 0.05
        path_cycle = itertools.cycle(self.call_paths)
        for number in range(int(per_s * seconds)):
            planned_at = start + number / per_s
            wait_s = planned_at - time.monotonic()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            self.call(next(path_cycle), planned_at)
        await self.wait_until_idle()

    async def run_closed_loop(self, path: CallPath, callers: int, seconds: float) -> int:
        """Let ``callers`` call again after each response; return the number of finished calls."""
        completed = 0
        until = time.monotonic() + seconds

        def call_again() -> None:
            nonlocal completed
            completed += 1
            if time.monotonic() < until:
                self.call(path, time.monotonic(), call_again)

        for _ in range(callers):
            self.call(path, time.monotonic(), call_again)
        await asyncio.sleep(seconds)
        await self.wait_until_idle()
        return completed

    def call(
        self, path: CallPath, planned_at: float, on_end: Callable[[], None] | None = None
    ) -> None:
        """Start a call over an idle connection; the call fails if the path has none left."""
        if not self.idle_connections[path]:
            path.record(0.0, False)
            return
        connection = self.idle_connections[path].pop()
        request_id = f"hop-{next(self.request_numbers)}"
        self.in_progress += 1
        self.all_done.clear()
        connection.send(
            request_id,
            path.encode(request_id),
            partial(self.finish, path, connection, planned_at, on_end),
        )

    def finish(
        self,
        path: CallPath,
        connection: Connection,
        planned_at: float,
        on_end: Callable[[], None] | None,
        is_valid: bool,
    ) -> None:
        path.record(time.monotonic() - planned_at, is_valid)
        if connection.transport is not None:
            self.idle_connections[path].append(connection)
        self.in_progress -= 1
        if on_end is not None:
            on_end()
        if not self.in_progress:
            self.all_done.set()

    async def wait_until_idle(self) -> None:
        async with asyncio.timeout(TIMEOUT_MS / 1000 + 1):
            await self.all_done.wait()

    def close(self) -> None:
        """Close all connections."""
        for connection in itertools.chain.from_iterable(self.idle_connections.values()):
            if connection.transport is not None:
                connection.transport.abort()
