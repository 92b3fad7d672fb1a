"""The HTTP side of the platform's store."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

from standins.platform._store_state import Item, PlatformStoreState

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class PlatformStoreServer:
    """Serves a ``PlatformStoreState`` over HTTP and injects the current faults.

    ``mode`` is ``up``, ``refuse`` (503 without effect) or ``reset`` (the connection is aborted
    without a response and without effect). Requests to a listening address in
    ``refused_addresses`` get 503 in every mode. The next ``lose_answers`` writes take effect and
    get no response. ``page_size`` is the highest number of items in one page of a list.
    """

    def __init__(self) -> None:
        self.state = PlatformStoreState()
        self.mode = "up"
        self.refused_addresses: set[str] = set()
        self.lose_answers = 0
        self.page_size = 500
        self.calls: Counter[str] = Counter()

    def app(self) -> web.Application:
        app = web.Application(middlewares=[self.fail])
        app.router.add_get("/objects/{kind}", self.list_or_watch)
        app.router.add_post("/objects/{kind}", self.create)
        app.router.add_get("/objects/{kind}/{name}", self.read)
        app.router.add_put("/objects/{kind}/{name}", self.replace)
        app.router.add_delete("/objects/{kind}/{name}", self.delete)
        return app

    @web.middleware
    async def fail(self, http: web.Request, handler: Handler) -> web.StreamResponse:
        kind = "watches" if "Watch" in http.query else http.method
        if "StaleOk" in http.query:
            kind = "stale"
        self.calls[kind] += 1
        if self.mode == "refuse" or self.address_of(http) in self.refused_addresses:
            return web.Response(status=503)
        if self.mode == "reset":
            return self.cut(http)
        response = await handler(http)
        response.headers["Store-Era"] = str(self.state.era)
        if http.method != "GET" and self.lose_answers:
            self.lose_answers -= 1
            return self.cut(http)
        return response

    def address_of(self, http: web.Request) -> str:
        """Return the address of the store at which a call came."""
        if http.transport is None:
            return ""
        return "{}:{}".format(*http.transport.get_extra_info("sockname")[:2])

    def cut(self, http: web.Request) -> web.Response:
        if http.transport is not None:
            http.transport.abort()
        return web.Response(status=500)

    async def list_or_watch(self, http: web.Request) -> web.StreamResponse:
        kind = http.match_info["kind"]
        if "Watch" in http.query:
            return await self.watch(kind, int(http.query["Watch"]), int(http.query["WaitMs"]))
        items, more = self.state.page(kind, http.query.get("after", ""), self.page_size)
        return web.json_response(
            {"items": items, "HasMore": more, "CurrentRev": self.state.revision}
        )

    async def watch(self, kind: str, since: int, wait_ms: int) -> web.Response:
        ends = asyncio.get_running_loop().time() + wait_ms / 1000
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
                async with asyncio.timeout_at(ends):
                    await changed.wait()
            except TimeoutError:
                break
        events = [{"Removed": each.removed, "Object": each.item} for each in found]
        return web.json_response({"events": events, "CurrentRev": self.state.revision})

    async def read(self, http: web.Request) -> web.Response:
        item = self.state.get(http.match_info["kind"], http.match_info["name"])
        return web.json_response(item or {}, status=404 if item is None else 200)

    async def create(self, http: web.Request) -> web.Response:
        body = await http.json()
        kind, name = http.match_info["kind"], body["Metadata"]["Name"]
        held = self.state.get(kind, name)
        if held is not None:
            return web.json_response(held, status=409)
        item = self.state.put(kind, name, Specification=body["Specification"])
        return web.json_response(item, status=201)

    async def replace(self, http: web.Request) -> web.Response:
        body = await http.json()
        kind, name = http.match_info["kind"], http.match_info["name"]
        refused = self.condition(kind, name, body["Metadata"].get("Revision"))
        if refused is not None:
            return refused
        return web.json_response(self.state.put(kind, name, Specification=body["Specification"]))

    async def delete(self, http: web.Request) -> web.Response:
        kind, name = http.match_info["kind"], http.match_info["name"]
        refused = self.condition(kind, name, http.query.get("Revision"))
        if refused is not None:
            return refused
        self.state.remove(kind, name)
        return web.json_response({})

    def condition(self, kind: str, name: str, revision: Any) -> web.Response | None:
        """Return the refusal of a write whose object is missing or of another revision."""
        held: Item | None = self.state.get(kind, name)
        if held is None:
            return web.json_response({}, status=404)
        if revision is not None and int(revision) != held["Metadata"]["Revision"]:
            return web.json_response(held, status=409)
        return None
