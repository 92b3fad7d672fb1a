"""Schemes by which nodes can enforce one limit together."""

import asyncio
import random
from abc import ABC, abstractmethod

import attrs

from marjoramtide.policy import TokenBucket
from marjoramtide.settings import WorkspaceSettings

DELAY_S = (0.0005, 0.003)
BROADCAST_INTERVAL_S = 0.25


class QuotaScheme(ABC):
    """Decides at each node whether a request of a workspace is admitted."""

    sent = 0
    sent_bytes = 0
    crossed_bytes = 0

    @abstractmethod
    async def admit(self, node: int, workspace: WorkspaceSettings) -> bool:
        """Tell whether a request that arrives at a node is admitted."""


@attrs.define(slots=False, eq=False, repr=False)
class EvenShares(QuotaScheme):
    """Each node has a fixed equal share of the limit."""

    size: int
    buckets: dict[tuple[int, str], TokenBucket] = attrs.Factory(dict)

    async def admit(self, node: int, workspace: WorkspaceSettings) -> bool:
        now = asyncio.get_running_loop().time()
        bucket = self.buckets.get((node, workspace.name))
        if bucket is None:
            rate = workspace.requests_per_s / self.size
            burst = max(1.0, workspace.request_burst / self.size)
            bucket = self.buckets[(node, workspace.name)] = TokenBucket(rate, burst, updated=now)
        return bucket.take(1, now)


@attrs.define(slots=False, eq=False, repr=False)
class UsageBroadcast(QuotaScheme):
    """Each node broadcasts its admitted requests to all others up to four times a second.

    It admits requests while all the usage that it knows of is within the limit.
    """

    size: int
    rng: random.Random
    message_bytes: int = 60
    buckets: dict[tuple[int, str], TokenBucket] = attrs.Factory(dict)
    unreported: dict[tuple[int, str], int] = attrs.Factory(dict)

    def bucket(self, node: int, workspace: WorkspaceSettings, now: float) -> TokenBucket:
        found = self.buckets.get((node, workspace.name))
        if found is None:
            rate, burst = workspace.requests_per_s, max(1.0, workspace.request_burst)
            found = self.buckets[(node, workspace.name)] = TokenBucket(rate, burst, updated=now)
        return found

    async def admit(self, node: int, workspace: WorkspaceSettings) -> bool:
        loop = asyncio.get_running_loop()
        if not self.bucket(node, workspace, loop.time()).take(1, loop.time()):
            return False
        key = (node, workspace.name)
        if key not in self.unreported:
            loop.call_later(
                self.rng.uniform(0, BROADCAST_INTERVAL_S), self.broadcast, node, workspace
            )
        self.unreported[key] = self.unreported.get(key, 0) + 1
        return True

    def broadcast(self, node: int, workspace: WorkspaceSettings) -> None:
        loop = asyncio.get_running_loop()
        used = self.unreported.pop((node, workspace.name))
        for other in range(self.size):
            if other != node:
                self.sent += 1
                self.sent_bytes += self.message_bytes
                self.crossed_bytes += self.message_bytes if other % 3 != node % 3 else 0
                loop.call_later(
                    self.rng.uniform(*DELAY_S), self.apply_usage, other, workspace, used
                )

    def apply_usage(self, node: int, workspace: WorkspaceSettings, used: int) -> None:
        now = asyncio.get_running_loop().time()
        self.bucket(node, workspace, now).spend(used, now)
