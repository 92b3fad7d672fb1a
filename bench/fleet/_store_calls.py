"""The calls that a fleet makes to its object store."""

import asyncio
import time
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from typing import Any

import aiohttp
import attrs

from marjoramtide.membership import ANNOUNCEMENT_PREFIX

KINDS = ("reads", "writes", "watches", "throttled")
SAMPLE_S = 0.25
PEAK_S = 1.0


@attrs.frozen(slots=True)
class Sample:
    """The store's totals at one moment of the monotonic clock."""

    at: float
    counts: dict[str, int]


def peak_per_s(samples: Sequence[Sample], kind: str, window_s: float = PEAK_S) -> float:
    """Return the most calls that fell into any stretch of about ``window_s`` seconds."""
    step = max(1, round(window_s / SAMPLE_S))
    pairs = list(zip(samples, samples[step:], strict=False)) or [(samples[0], samples[-1])]
    return max(
        (late.counts[kind] - early.counts[kind]) / max(late.at - early.at, SAMPLE_S)
        for early, late in pairs
    )


def total(samples: Sequence[Sample], kind: str) -> int:
    return samples[-1].counts[kind] - samples[0].counts[kind]


class StoreCalls:
    """Reads the stand-in's own counts."""

    def __init__(self, http: aiohttp.ClientSession, address: str) -> None:
        self.http = http
        self.address = address

    async def read(self) -> Sample:
        async with self.http.get(f"http://{self.address}/stats") as response:
            counts = await response.json()
        return Sample(time.monotonic(), {kind: counts[kind] for kind in KINDS})

    async def set_mode(self, mode: str) -> None:
        await self.order("faults", {"mode": mode})

    async def set_limits(self, reads_per_s: float, writes_per_s: float) -> None:
        await self.order("limits", {"reads_per_s": reads_per_s, "writes_per_s": writes_per_s})

    async def order(self, page: str, body: dict[str, Any]) -> None:
        async with self.http.post(f"http://{self.address}/{page}", json=body) as response:
            response.raise_for_status()

    async def announcements_bytes(self) -> int:
        """Return the size of the list that every node reads at its start."""
        url = f"http://{self.address}/v1/objects"
        async with self.http.get(url, params={"prefix": ANNOUNCEMENT_PREFIX}) as response:
            return len(await response.read())

    @asynccontextmanager
    async def sampled(self) -> AsyncIterator[list[Sample]]:
        """Fill the list that it yields until the block ends."""
        samples = [await self.read()]

        async def fill() -> None:
            while True:
                await asyncio.sleep(SAMPLE_S)
                samples.append(await self.read())

        task = asyncio.create_task(fill())
        try:
            yield samples
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            samples.append(await self.read())
