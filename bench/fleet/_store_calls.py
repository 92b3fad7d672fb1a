"""Counts the calls of a fleet to its object store."""

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
PEAK_WINDOW_S = 1.0


@attrs.frozen(slots=True)
class Sample:
    """The store's counters at one time of the monotonic clock."""

    at: float
    counts: dict[str, int]


def peak_per_s(samples: Sequence[Sample], kind: str, window_s: float = PEAK_WINDOW_S) -> float:
    """Return the peak rate of calls over any window of about ``window_s`` seconds."""
    step = max(1, round(window_s / SAMPLE_S))
    pairs = list(zip(samples, samples[step:], strict=False)) or [(samples[0], samples[-1])]
    return max(
        (later.counts[kind] - earlier.counts[kind]) / max(later.at - earlier.at, SAMPLE_S)
        for earlier, later in pairs
    )


def total(samples: Sequence[Sample], kind: str) -> int:
    return samples[-1].counts[kind] - samples[0].counts[kind]


class StoreCalls:
    """Reads the counters of the stand-in store and controls its faults and limits."""

    def __init__(self, http: aiohttp.ClientSession, address: str) -> None:
        self.http = http
        self.address = address

    async def read(self) -> Sample:
        async with self.http.get(f"http://{self.address}/stats") as response:
            counts = await response.json()
        return Sample(time.monotonic(), {kind: counts[kind] for kind in KINDS})

    async def set_mode(self, mode: str) -> None:
        await self.post("faults", {"mode": mode})

    async def set_limits(self, reads_per_s: float, writes_per_s: float) -> None:
        await self.post("limits", {"reads_per_s": reads_per_s, "writes_per_s": writes_per_s})

    async def post(self, page: str, body: dict[str, Any]) -> None:
        async with self.http.post(f"http://{self.address}/{page}", json=body) as response:
            response.raise_for_status()

    async def announcements_bytes(self) -> int:
        """Return the size of the announcements that every node lists at its start."""
        url = f"http://{self.address}/v1/objects"
        async with self.http.get(url, params={"prefix": ANNOUNCEMENT_PREFIX}) as response:
            return len(await response.read())

    @asynccontextmanager
    async def sample_during(self) -> AsyncIterator[list[Sample]]:
        """Yield a list to which samples are added until the block ends."""
        samples = [await self.read()]

        async def collect() -> None:
            while True:
                await asyncio.sleep(SAMPLE_S)
                samples.append(await self.read())

        task = asyncio.create_task(collect())
        try:
            yield samples
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            samples.append(await self.read())
