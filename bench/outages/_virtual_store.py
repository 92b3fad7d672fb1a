"""One node's client of a simulated store."""

import asyncio
import random
from collections import Counter
from contextlib import AbstractAsyncContextManager
from types import TracebackType
from typing import Any

import aiohttp
import attrs
from aiohttp import web

from marjoramtide.clock import Clock
from marjoramtide.platform._headers import STORE_EPOCH
from marjoramtide.platform._store_protocol import PlatformStoreProtocol
from marjoramtide.store import Call, HttpObjectStore, StoreLimits
from marjoramtide.store._call_errors import ResponseLostError
from standins.platform import FaultKind, PlatformStoreServer, StoreFault

# From the request to the response, in seconds.
STORE_DELAY_S = 0.004
# In each response that holds a configuration.
CONFIGURATION_TEXT = b'"Routes"'


@attrs.define(eq=False)
class CallInFlight:
    """A call that waits for its answer; ``broken`` ends it with an error."""

    is_watch: bool
    broken: "asyncio.Future[None]"
    is_lost: bool = False


@attrs.frozen
class ListRequest:
    """The part of an HTTP request that the stand-in reads of a list or a watch."""

    match_info: dict[str, str]
    query: dict[str, str]


@attrs.frozen
class VirtualResponse:
    """The part of an HTTP response that the store's client uses."""

    status: int
    headers: dict[str, str]
    body: bytes

    async def read(self) -> bytes:
        return self.body


@attrs.define(eq=False)
class VirtualRequest(AbstractAsyncContextManager[VirtualResponse]):
    """A request whose response is ready at the start of the block."""

    store: "VirtualObjectStore"
    call: Call
    timeout_s: float | None

    async def __aenter__(self) -> VirtualResponse:
        async with asyncio.timeout(self.timeout_s):
            return await self.store.answer(self.call)

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        return None


class VirtualObjectStore(HttpObjectStore):
    """The product's client, whose requests a stand-in answers without sockets.

    ``fault`` is in force for this node now; ``counts`` are the calls of the whole fleet.
    ``configuration_s`` is how long the configuration takes to arrive.
    """

    def __init__(
        self, server: PlatformStoreServer, clock: Clock, rng: random.Random, counts: Counter[str]
    ) -> None:
        super().__init__("http://store", PlatformStoreProtocol(), clock, rng, StoreLimits())
        self.server = server
        self.counts = counts
        self.fault: StoreFault | None = None
        self.configuration_s = 0.0
        self.in_flight: list[CallInFlight] = []

    def send_request(self, call: Call, timeout: aiohttp.ClientTimeout) -> Any:
        return VirtualRequest(self, call, timeout.total)

    def set_fault(self, fault: StoreFault | None) -> None:
        """Begin or end a fault; a reset also ends the calls that wait."""
        self.fault = fault
        for each in self.in_flight:
            if fault and fault.kind is FaultKind.RESET and fault.affects(each.is_watch):
                each.broken.set_exception(ResponseLostError("reset"))

    def lose_watches(self) -> None:
        """Let the connections of all open watches go silent for good."""
        for each in self.in_flight:
            each.is_lost = each.is_lost or each.is_watch

    async def answer(self, call: Call) -> VirtualResponse:
        """Return the answer to a call, or what the fault in force makes of it."""
        is_watch = "Watch" in call.params
        self.counts["watches" if is_watch else "reads"] += 1
        flight = CallInFlight(is_watch, asyncio.get_running_loop().create_future())
        self.in_flight.append(flight)
        answering = asyncio.ensure_future(self.exchange_virtually(call, flight))
        try:
            await asyncio.wait({answering, flight.broken}, return_when=asyncio.FIRST_COMPLETED)
            if flight.broken.done():
                flight.broken.result()
            return await answering
        finally:
            self.in_flight.remove(flight)
            answering.cancel()
            flight.broken.cancel()

    async def exchange_virtually(self, call: Call, flight: CallInFlight) -> VirtualResponse:
        await asyncio.sleep(STORE_DELAY_S / 2)
        if (refusal := await self.faulty_response(flight)) is not None:
            return refusal
        response = await self.ask_stand_in(call)
        is_configuration = CONFIGURATION_TEXT in response.body
        await asyncio.sleep(STORE_DELAY_S / 2 + self.configuration_s * is_configuration)
        return await self.faulty_response(flight) or response

    async def faulty_response(self, flight: CallInFlight) -> VirtualResponse | None:
        """Return or raise what the fault in force puts in place of the answer, if any."""
        fault = self.fault if self.fault and self.fault.affects(flight.is_watch) else None
        if flight.is_lost or (fault and fault.kind is FaultKind.SILENCE):
            await asyncio.Event().wait()
        if fault is None:
            return None
        if fault.kind is FaultKind.RESET:
            raise ResponseLostError("reset")
        return VirtualResponse(503, {}, b"{}")

    async def ask_stand_in(self, call: Call) -> VirtualResponse:
        request: Any = ListRequest({"kind": call.path.rpartition("/")[2]}, dict(call.params))
        try:
            response = await self.server.list_or_watch(request)
        except web.HTTPException as error:
            return VirtualResponse(error.status, self.epoch_header(), b"{}")
        assert isinstance(response, web.Response) and isinstance(response.body, bytes)
        return VirtualResponse(response.status, self.epoch_header(), response.body)

    def epoch_header(self) -> dict[str, str]:
        return {STORE_EPOCH: str(self.server.state.era)}
