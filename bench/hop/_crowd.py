"""Callers at a steady rate, and callers that wait for nothing."""

import asyncio
import itertools
import time
from collections.abc import Callable, Sequence
from functools import partial

from bench.hop._connection import Connection
from bench.hop._way import TIMEOUT_MS, Way

SPARE_CONNECTIONS = 16


class Crowd:
    """Keeps connections of each way open and sends calls over free ones."""

    def __init__(self, ways: Sequence[Way]) -> None:
        self.ways = ways
        self.free: dict[Way, list[Connection]] = {way: [] for way in ways}
        self.numbers = itertools.count()
        self.in_progress = 0
        self.ended = asyncio.Event()

    async def connect(self, per_way: int = SPARE_CONNECTIONS) -> None:
        """Open the connections of each way, so that no call pays for one."""
        loop = asyncio.get_running_loop()
        for way in self.ways:
            host, _, port = way.address.rpartition(":")
            for _ in range(per_way):
                _, connection = await loop.create_connection(Connection, host, int(port))
                self.free[way].append(connection)

    async def steady(self, per_s: float, seconds: float) -> None:
        """Call every way in turn, each call at its planned time whatever became of the others.

        Latency counts from the plan, so a stall shows in all the calls that it delays. The ways
        take turns call by call, so noise of the machine meets all of them alike.
        """
        start = time.monotonic() + 0.05
        turns = itertools.cycle(self.ways)
        for number in range(int(per_s * seconds)):
            planned = start + number / per_s
            wait_s = planned - time.monotonic()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            self.call(next(turns), planned)
        await self.all_ended()

    async def saturate(self, way: Way, callers: int, seconds: float) -> int:
        """Let ``callers`` call again as soon as they are answered; return the calls answered."""
        answered = 0
        until = time.monotonic() + seconds

        def again() -> None:
            nonlocal answered
            answered += 1
            if time.monotonic() < until:
                self.call(way, time.monotonic(), again)

        for _ in range(callers):
            self.call(way, time.monotonic(), again)
        await asyncio.sleep(seconds)
        await self.all_ended()
        return answered

    def call(self, way: Way, planned: float, then: Callable[[], None] | None = None) -> None:
        """Start one call over a free connection; a way that has none left fails the call."""
        if not self.free[way]:
            way.record(0.0, False)
            return
        connection = self.free[way].pop()
        request_id = f"hop-{next(self.numbers)}"
        self.in_progress += 1
        self.ended.clear()
        connection.send(
            request_id, way.encode(request_id), partial(self.end, way, connection, planned, then)
        )

    def end(
        self,
        way: Way,
        connection: Connection,
        planned: float,
        then: Callable[[], None] | None,
        answered_well: bool,
    ) -> None:
        way.record(time.monotonic() - planned, answered_well)
        if connection.transport is not None:
            self.free[way].append(connection)
        self.in_progress -= 1
        if then is not None:
            then()
        if not self.in_progress:
            self.ended.set()

    async def all_ended(self) -> None:
        async with asyncio.timeout(TIMEOUT_MS / 1000 + 1):
            await self.ended.wait()

    def close(self) -> None:
        """Close all connections."""
        for connection in itertools.chain.from_iterable(self.free.values()):
            if connection.transport is not None:
                connection.transport.abort()
