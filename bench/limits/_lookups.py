"""Sends lookups at an even rate through all nodes of a fleet."""

import asyncio
import itertools
import time
from collections.abc import Awaitable, Callable, Mapping

import attrs

from bench.limits._limit_watch import ReceivedRequest
from standins.platform import PlatformBackendServer


@attrs.frozen(slots=True)
class LookupResponse:
    """The response to a caller."""

    status: int
    headers: Mapping[str, str]


@attrs.frozen(slots=True)
class Lookup:
    """A completed lookup; ``entry`` is the run of the node that received it."""

    attempt: str
    entry: str
    started_at: float
    ended_at: float
    response: LookupResponse


Send = Callable[[int, str], Awaitable[LookupResponse]]
"""Sends a lookup with an attempt id through the node with a number."""


@attrs.define(slots=True, eq=False)
class Lookups:
    """Sends lookups in turn through ``nodes`` nodes, and records the responses.

    A node that was restarted or suspended may have lost what it had learnt, so ``start_new_run``
    gives it another name. Nothing is sent through nodes that are ``down``.
    """

    nodes: int
    send: Send
    completed: list[Lookup] = attrs.Factory(list)
    sent: dict[str, tuple[str, float]] = attrs.Factory(dict)
    tasks: list["asyncio.Task[None]"] = attrs.Factory(list)
    runs: dict[int, int] = attrs.Factory(dict)
    down: set[int] = attrs.Factory(set)
    lost: int = 0

    async def send_at_rate(self, per_s: float) -> None:
        """Send ``per_s`` lookups per second until cancelled."""
        started_at = time.monotonic()
        for number in itertools.count():
            await asyncio.sleep(max(0.0, started_at + number / per_s - time.monotonic()))
            if (turn := number % self.nodes) not in self.down:
                self.tasks.append(asyncio.create_task(self.send_one(turn, number)))

    async def send_one(self, turn: int, number: int) -> None:
        """Send one lookup and record its response; without one it counts as lost."""
        attempt, entry, started_at = f"{number:016x}", self.entry(turn), time.monotonic()
        self.sent[attempt] = entry, started_at
        try:
            response = await self.send(turn, attempt)
        except (OSError, TimeoutError):
            self.lost += 1
            return
        self.completed.append(Lookup(attempt, entry, started_at, time.monotonic(), response))

    async def wait_for_responses(self) -> None:
        """Wait for the responses to all lookups."""
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def entry(self, turn: int) -> str:
        """Return the name of the current run of a node."""
        return f"{turn}#{self.runs.get(turn, 0)}"

    def start_new_run(self, turn: int) -> None:
        """Count a node as another one from now on."""
        self.runs[turn] = self.runs.get(turn, 0) + 1

    def first_notified_at(self, server: PlatformBackendServer, header: str) -> dict[str, float]:
        """Return when each node first passed on a response of a server with a header."""
        received = {each.attempt for each in server.received}
        first: dict[str, float] = {}
        for each in self.completed:
            if each.attempt in received and header in each.response.headers:
                first[each.entry] = min(each.ended_at, first.get(each.entry, each.ended_at))
        return first

    def requests_at(self, server: PlatformBackendServer) -> list[ReceivedRequest]:
        """Return the requests that a server got, with the run of the node each entered through."""
        return [
            ReceivedRequest(each.at, self.sent[each.attempt][0])
            for each in server.received
            if each.attempt in self.sent
        ]

    def late_at(
        self, server: PlatformBackendServer, first_notified_at: Mapping[str, float], after_s: float
    ) -> list[str]:
        """Return requests a server got that started over ``after_s`` after a notification."""
        return [
            each.attempt
            for each in server.received
            if each.attempt in self.sent and self._is_late(each.attempt, first_notified_at, after_s)
        ]

    def _is_late(
        self, attempt: str, first_notified_at: Mapping[str, float], after_s: float
    ) -> bool:
        entry, started_at = self.sent[attempt]
        return started_at > first_notified_at.get(entry, float("inf")) + after_s
