"""The platform's store, as PROTOCOL.md tells it: objects, conditions, watches, no losses.

Each machine calls the store at an address of its own, so that the store can serve some machines and
not answer others. ``silent`` holds the machines that get no answer: their calls are read and have
no effect, and an answer that is due to them is lost. A connection on which an answer was lost
returns nothing further. The connections of the machines in ``resetting`` are reset at each call,
which has no effect.
"""

import asyncio
import json
import urllib.parse

from http_ import encode, read_request


class Store:
    def __init__(self, log):
        self.log = log
        self.revision = 100
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()
        self.silent = set()
        self.resetting = set()
        self.watching = {}
        self.servers = []

    async def listen(self, machine, host, port):
        async def accept(reader, writer):
            await self.serve(machine, reader, writer)

        self.servers.append(await asyncio.start_server(accept, host, port))

    def put(self, kind, name, specification):
        """Write an object as the operator; returns its revision, the acknowledgement."""
        self.revision += 1
        item = {
            "Metadata": {
                "Name": name,
                "Revision": self.revision,
                "Created": self.revision,
                "Finalizers": [],
                "Deleting": False,
            },
            "Specification": specification,
            "Status": None,
        }
        self.objects.setdefault(kind, {})[name] = item
        self.record(kind, item, False)
        return self.revision

    def remove(self, kind, name):
        """Remove an object as the operator."""
        self.revision += 1
        self.record(kind, self.objects[kind].pop(name), True)

    def record(self, kind, item, removed):
        self.history.append((self.revision, kind, item, removed))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, machine, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                if machine in self.silent:
                    await asyncio.Event().wait()
                if machine in self.resetting:
                    writer.transport.abort()
                    return
                answer = await self.answer(machine, request)
                if machine in self.silent:
                    self.log(event="store answer lost", machine=machine, call=request.first[1])
                    await asyncio.Event().wait()
                await asyncio.sleep(0.004)
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, machine, request):
        method, target, _ = request.first
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        parts = [urllib.parse.unquote(part) for part in path.strip("/").split("/")]
        kind, name = parts[1], "/".join(parts[2:])
        if method == "GET" and "Watch" in query:
            return await self.watch(machine, kind, int(query["Watch"]), int(query["WaitMs"]))
        if method == "GET" and not name:
            names = sorted(self.objects.get(kind, {}))
            names = [each for each in names if each > query.get("after", "")]
            items = [self.objects[kind][each] for each in names[:500]]
            return self.reply(
                200,
                {"items": items, "HasMore": len(names) > 500, "CurrentRev": self.revision},
            )
        existing = self.objects.get(kind, {}).get(name)
        if method == "GET":
            return self.reply(200 if existing else 404, existing or {})
        body = json.loads(request.body) if request.body else {}
        if method == "POST":
            name = body["Metadata"]["Name"]
            existing = self.objects.get(kind, {}).get(name)
            if existing:
                return self.reply(409, existing)
            self.put(kind, name, body["Specification"])
            return self.reply(201, self.objects[kind][name])
        if existing is None:
            return self.reply(404, {})
        wanted = query.get("Revision") or body.get("Metadata", {}).get("Revision")
        if wanted is not None and int(wanted) != existing["Metadata"]["Revision"]:
            return self.reply(409, existing)
        if method == "DELETE":
            self.remove(kind, name)
            return self.reply(200, {})
        self.put(kind, name, body["Specification"])
        return self.reply(200, self.objects[kind][name])

    async def watch(self, machine, kind, since, wait_ms):
        ends_at = asyncio.get_running_loop().time() + wait_ms / 1000
        if kind == "config":
            self.watching[machine] = self.watching.get(machine, 0) + 1
        try:
            while True:
                changed = self.changed
                found = [each for each in self.history if each[0] > since and each[1] == kind]
                if found:
                    break
                try:
                    async with asyncio.timeout_at(ends_at):
                        await changed.wait()
                except TimeoutError:
                    break
        finally:
            if kind == "config":
                self.watching[machine] -= 1
        events = [{"Object": item, "Removed": removed} for _, _, item, removed in found]
        return self.reply(200, {"events": events, "CurrentRev": self.revision})

    def reply(self, status, body):
        return encode(status, [("Content-Type", "application/json")], json.dumps(body).encode())
