"""HTTP server of the platform store stand-in."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
from aiohttp import web

from standins.platform._store_fault import FaultKind, StoreFault
from standins.platform._store_state import Item, PlatformStoreState

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@attrs.frozen(slots=True, eq=False)
class OpenCall:
    """A call that has no response yet, by the listening address on which it arrived."""

    address: str
    is_watch: bool
    request: web.Request


class PlatformStoreServer:
    """Serves a ``PlatformStoreState`` over HTTP and injects the current faults.

    ``mode`` is ``up``, ``refuse`` (503 without effect) or ``reset`` (the connection is aborted
    without a response and without effect). ``set_fault`` sets a fault for the requests to one
    listening address. The next ``lose_answers`` writes take effect and get no response.
    ``page_size`` is the highest number of items in one page of a list. ``last_read`` is the address
    of the last list.
    """

    def __init__(self) -> None:
        self.state = PlatformStoreState()
        self.mode = "up"
        self.faults: dict[str, StoreFault] = {}
        self.open_calls: list[OpenCall] = []
        self.last_read = ""
        self.lose_answers = 0
        self.page_size = 500
        self.calls: Counter[str] = Counter()

    def app(self) -> web.Application:
        app = web.Application(middlewares=[self.inject_faults])
        app.router.add_get("/objects/{kind}", self.list_or_watch)
        app.router.add_post("/objects/{kind}", self.create)
        app.router.add_get("/objects/{kind}/{name}", self.read)
        app.router.add_put("/objects/{kind}/{name}", self.replace)
        app.router.add_delete("/objects/{kind}/{name}", self.delete)
        return app

    def set_fault(self, address: str, fault: StoreFault | None) -> None:
        """Begin or end the fault of an address; a reset also ends the calls that wait."""
        self.faults.pop(address, None)
        if fault is None:
            return
        self.faults[address] = fault
        if fault.kind is FaultKind.RESET:
            for call in self.open_calls:
                if call.address == address and fault.affects(call.is_watch):
                    self.abort_connection(call.request)

    def watching_addresses(self) -> set[str]:
        """Return the addresses at which a watch waits now."""
        return {call.address for call in self.open_calls if call.is_watch}

    @web.middleware
    async def inject_faults(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        is_watch = "Watch" in request.query
        kind = "watches" if is_watch else request.method
        if "StaleOk" in request.query:
            kind = "stale"
        self.calls[kind] += 1
        call = OpenCall(self.listening_address(request), is_watch, request)
        if kind == "GET":
            self.last_read = call.address
        self.open_calls.append(call)
        try:
            return await self.respond(call, handler)
        finally:
            self.open_calls.remove(call)

    async def respond(self, call: OpenCall, handler: Handler) -> web.StreamResponse:
        """Return the response, or what the faults in force make of it."""
        if (faulty := await self.faulty_response(call)) is not None:
            return faulty
        if self.mode == "refuse":
            return web.Response(status=503)
        if self.mode == "reset":
            return self.abort_connection(call.request)
        response = await handler(call.request)
        response.headers["Store-Era"] = str(self.state.era)
        if (faulty := await self.faulty_response(call)) is not None:
            return faulty
        if call.request.method != "GET" and self.lose_answers:
            self.lose_answers -= 1
            return self.abort_connection(call.request)
        return response

    async def faulty_response(self, call: OpenCall) -> web.Response | None:
        """Return what the fault of an address puts in place of a response, if it has one now.

        A connection on which a response was due during a silence returns nothing further.
        """
        fault = self.faults.get(call.address)
        if fault is None or not fault.affects(call.is_watch):
            return None
        if fault.kind is FaultKind.SILENCE:
            await asyncio.Event().wait()
        if fault.kind is FaultKind.RESET:
            return self.abort_connection(call.request)
        return web.Response(status=503)

    def listening_address(self, request: web.Request) -> str:
        """Return the address of the store on which the request arrived."""
        if request.transport is None:
            return ""
        return "{}:{}".format(*request.transport.get_extra_info("sockname")[:2])

    def abort_connection(self, request: web.Request) -> web.Response:
        if request.transport is not None:
            request.transport.abort()
        return web.Response(status=500)

    async def list_or_watch(self, request: web.Request) -> web.StreamResponse:
        kind = request.match_info["kind"]
        if "Watch" in request.query:
            return await self.watch(kind, int(request.query["Watch"]), int(request.query["WaitMs"]))
        items, more = self.state.page(kind, request.query.get("after", ""), self.page_size)
        return web.json_response(
            {"items": items, "HasMore": more, "CurrentRev": self.state.revision}
        )

    async def watch(self, kind: str, since: int, wait_ms: int) -> web.Response:
        ends_at = asyncio.get_running_loop().time() + wait_ms / 1000
        era = self.state.era
        while True:
            if self.state.era != era:
                raise web.HTTPServiceUnavailable
            if since < self.state.compacted_revision or since > self.state.revision:
                return web.json_response({}, status=410)
            changed = self.state.changed
            found = self.state.changes(kind, since)
            if found:
                break
            try:
                async with asyncio.timeout_at(ends_at):
                    await changed.wait()
            except TimeoutError:
                break
        events = [{"Removed": each.removed, "Object": each.item} for each in found]
        return web.json_response({"events": events, "CurrentRev": self.state.revision})

    async def read(self, request: web.Request) -> web.Response:
        item = self.state.get(request.match_info["kind"], request.match_info["name"])
        return web.json_response(item or {}, status=404 if item is None else 200)

    async def create(self, request: web.Request) -> web.Response:
        body = await request.json()
        kind, name = request.match_info["kind"], body["Metadata"]["Name"]
        existing = self.state.get(kind, name)
        if existing is not None:
            return web.json_response(existing, status=409)
        item = self.state.put(kind, name, Specification=body["Specification"])
        return web.json_response(item, status=201)

    async def replace(self, request: web.Request) -> web.Response:
        body = await request.json()
        kind, name = request.match_info["kind"], request.match_info["name"]
        error = self.check_write_condition(kind, name, body["Metadata"].get("Revision"))
        if error is not None:
            return error
        return web.json_response(self.state.put(kind, name, Specification=body["Specification"]))

    async def delete(self, request: web.Request) -> web.Response:
        kind, name = request.match_info["kind"], request.match_info["name"]
        error = self.check_write_condition(kind, name, request.query.get("Revision"))
        if error is not None:
            return error
        self.state.remove(kind, name)
        return web.json_response({})

    def check_write_condition(self, kind: str, name: str, revision: Any) -> web.Response | None:
        """Return the error response for a missing object or a different revision."""
        existing: Item | None = self.state.get(kind, name)
        if existing is None:
            return web.json_response({}, status=404)
        if revision is not None and int(revision) != existing["Metadata"]["Revision"]:
            return web.json_response(existing, status=409)
        return None
