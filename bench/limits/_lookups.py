"""Lookups that come evenly through all nodes of a fleet."""

import asyncio
import itertools
import time
from collections.abc import Awaitable, Callable, Mapping

import attrs

from bench.limits._limit_watch import ReceivedRequest
from standins.platform import PlatformBackendServer


@attrs.frozen(slots=True)
class LookupResponse:
    """What a caller got."""

    status: int
    headers: Mapping[str, str]


@attrs.frozen(slots=True)
class Lookup:
    """A lookup with its answer, the run of a node at which it began, and when, in seconds."""

    attempt: str
    entry: str
    started_at: float
    ended_at: float
    response: LookupResponse


Send = Callable[[int, str], Awaitable[LookupResponse]]
"""Sends a lookup with an attempt's id through the node of a number."""


@attrs.define(slots=True, eq=False)
class Lookups:
    """Sends lookups in turn through ``nodes`` nodes, and keeps what becomes of each.

    A node that is started anew or stopped is another one to whoever judges by what it has passed
    on, so ``entered_anew`` gives it another name. Nothing is sent through nodes that are ``down``.
    """

    nodes: int
    send: Send
    completed: list[Lookup] = attrs.Factory(list)
    sent: dict[str, tuple[str, float]] = attrs.Factory(dict)
    calls: list["asyncio.Task[None]"] = attrs.Factory(list)
    runs: dict[int, int] = attrs.Factory(dict)
    down: set[int] = attrs.Factory(set)
    lost: int = 0

    async def send_at_rate(self, per_s: float) -> None:
        """Send so many a second until cancelled."""
        began = time.monotonic()
        for number in itertools.count():
            await asyncio.sleep(max(0.0, began + number / per_s - time.monotonic()))
            if (turn := number % self.nodes) not in self.down:
                self.calls.append(asyncio.create_task(self.call(turn, number)))

    async def call(self, turn: int, number: int) -> None:
        """Send one, and keep its answer; one that its node took with it is counted as lost."""
        attempt, entry, began = f"{number:016x}", self.entry(turn), time.monotonic()
        self.sent[attempt] = entry, began
        try:
            response = await self.send(turn, attempt)
        except (OSError, TimeoutError):
            self.lost += 1
            return
        self.completed.append(Lookup(attempt, entry, began, time.monotonic(), response))

    async def wait_for_responses(self) -> None:
        """Wait for the answers to all that was sent."""
        await asyncio.gather(*self.calls, return_exceptions=True)

    def entry(self, turn: int) -> str:
        """Return the name of a node's present run."""
        return f"{turn}#{self.runs.get(turn, 0)}"

    def start_new_run(self, turn: int) -> None:
        """Take a node for another one from now on."""
        self.runs[turn] = self.runs.get(turn, 0) + 1

    def first_notified_at(self, server: PlatformBackendServer, header: str) -> dict[str, float]:
        """Return when each node had first passed on an answer of a server with a header."""
        ran = {each.attempt for each in server.received}
        found: dict[str, float] = {}
        for each in self.completed:
            if each.attempt in ran and header in each.response.headers:
                found[each.entry] = min(each.ended_at, found.get(each.entry, each.ended_at))
        return found

    def requests_at(self, server: PlatformBackendServer) -> list[ReceivedRequest]:
        """Return what a server got, with the run of a node at which each request began."""
        return [
            ReceivedRequest(each.at, self.sent[each.attempt][0])
            for each in server.received
            if each.attempt in self.sent
        ]

    def late_at(
        self, server: PlatformBackendServer, first_notified_at: Mapping[str, float], after_s: float
    ) -> list[str]:
        """Return what a server got though it began later than ``after_s`` after a node was told."""
        return [
            each.attempt
            for each in server.received
            if each.attempt in self.sent and self._is_late(each.attempt, first_notified_at, after_s)
        ]

    def _is_late(
        self, attempt: str, first_notified_at: Mapping[str, float], after_s: float
    ) -> bool:
        entry, began = self.sent[attempt]
        return began > first_notified_at.get(entry, float("inf")) + after_s
