"""The HTTP application of the operators' API."""

import math
import re
from typing import Any

import attrs
from aiohttp import web

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.membership import Member
from marjoramtide.operators._answers import errors_as_json
from marjoramtide.operators._change_stream import stream_change
from marjoramtide.operators._node_handle import NodeHandle
from marjoramtide.settings import Envelope

MAX_BODY_BYTES = 4 * 1024 * 1024
FINGERPRINT = re.compile(r"[0-9a-f]{16}")


@attrs.frozen(slots=True)
class OperatorsApi:
    """The request handlers of the operators' API."""

    node: NodeHandle

    async def status(self, _: web.Request) -> web.Response:
        settings = self.node.settings.view
        members = self.node.directory.members()
        own = self.node.directory.self_member
        fields = {
            "node": own.node,
            "service": own.service,
            "region": own.region,
            "data_centre": own.data_centre,
            "state": str(own.state),
            "settings": {
                "revision": settings.revision,
                "digest": settings.digest,
                "current": settings.is_current,
                "proof_age_s": rounded_seconds(settings.freshness.proof_age_s),
                "vouches_for_keys": settings.can_accept_keys,
                "unreadable": settings.freshness.unreadable_revision,
                "store_answers": self.node.settings.follower.store_reachable,
                "watcher": self.node.settings.follower.is_watcher(),
            },
            "members": len(members),
        }
        return web.json_response(fields | self.node.status())

    async def members(self, _: web.Request) -> web.Response:
        members = sorted(self.node.directory.members(), key=lambda member: member.node)
        return web.json_response({"members": [describe_member(member) for member in members]})

    async def settings(self, _: web.Request) -> web.Response:
        view = self.node.settings.view
        if view.envelope is None:
            return web.json_response({"revision": 0, "digest": "", "text": "", "recent": []})
        return web.json_response(describe_envelope(view.envelope))

    async def revision(self, http_request: web.Request) -> web.Response:
        text = required_argument(http_request, "revision")
        if not text.isdecimal():
            raise bad_argument(f"revision = {text!r}; allowed: a whole number")
        return web.json_response(describe_envelope(await self.node.settings.envelope_at(int(text))))

    async def resolved(self, http_request: web.Request) -> web.Response:
        service, path = required_argument(http_request, "service"), http_request.query.get(
            "path", "/"
        )
        route, resolved = self.node.settings.view.resolved(service, path)
        return web.json_response(
            {
                "service": service,
                "route": route,
                "values": resolved.values,
                "origins": resolved.origins,
            }
        )

    async def change(self, http_request: web.Request) -> web.StreamResponse:
        return await stream_change(self.node.settings, http_request)

    async def explain(self, http_request: web.Request) -> web.Response:
        return web.json_response(self.node.explain(required_argument(http_request, "service")))

    async def trace(self, http_request: web.Request) -> web.Response:
        return web.json_response({"spans": self.node.trace(required_argument(http_request, "id"))})

    async def quarantine(self, _: web.Request) -> web.Response:
        return web.json_response({"held": self.node.list_held_requests()})

    async def release(self, http_request: web.Request) -> web.Response:
        text = required_argument(http_request, "fingerprint")
        if not FINGERPRINT.fullmatch(text):
            raise bad_argument(f"fingerprint = {text[:40]!r}; allowed: 16 digits from 0 to f")
        self.node.release_request(int(text, 16))
        return web.json_response({"released": text})

    async def evacuations(self, _: web.Request) -> web.Response:
        return web.json_response({"evacuations": await self.node.list_evacuations()})

    async def evacuate(self, http_request: web.Request) -> web.Response:
        data_centre = required_argument(http_request, "data_centre")
        await self.node.evacuate(data_centre, http_request.query.get("author", ""))
        return web.json_response({"evacuated": data_centre})

    async def release_evacuation(self, http_request: web.Request) -> web.Response:
        data_centre = required_argument(http_request, "data_centre")
        await self.node.release_evacuation(data_centre)
        return web.json_response({"released": data_centre})

    async def workspaces(self, _: web.Request) -> web.Response:
        return web.json_response({"workspaces": self.node.list_workspaces()})

    async def drain(self, _: web.Request) -> web.Response:
        return self._set_drained(True)

    async def undrain(self, _: web.Request) -> web.Response:
        return self._set_drained(False)

    def _set_drained(self, drained: bool) -> web.Response:
        self.node.drain(drained)
        own = self.node.directory.self_member
        return web.json_response({"node": own.node, "state": str(own.state)})


def describe_member(member: Member) -> dict[str, Any]:
    """Return the JSON fields of a member."""
    return attrs.asdict(member) | {"state": str(member.state)}


def describe_envelope(envelope: Envelope) -> dict[str, Any]:
    """Return the JSON fields of a revision of the settings."""
    return attrs.asdict(envelope) | {"digest": envelope.digest}


def rounded_seconds(seconds: float) -> float | None:
    """Return seconds rounded for JSON, or ``None`` for infinity, which JSON can't represent."""
    return None if math.isinf(seconds) else round(seconds, 2)


def required_argument(http_request: web.Request, name: str) -> str:
    """Return a query argument; raises ``bad-request`` if it is missing."""
    value = http_request.query.get(name, "")
    if not value:
        raise bad_argument(f"{http_request.path} needs ?{name}=...")
    return value


def bad_argument(message: str) -> MarjoramtideError:
    """Return the error for an invalid query argument."""
    return MarjoramtideError(ErrorCode.BAD_REQUEST, message, step="operators.argument")


def make_operators_app(node: NodeHandle) -> web.Application:
    """Return the aiohttp application of the operators' API; the daemon binds its address."""
    api = OperatorsApi(node)
    app = web.Application(middlewares=[errors_as_json], client_max_size=MAX_BODY_BYTES)
    app.add_routes(
        [
            web.get("/status", api.status),
            web.get("/members", api.members),
            web.get("/settings", api.settings),
            web.get("/settings/revision", api.revision),
            web.get("/settings/resolved", api.resolved),
            web.post("/settings/change", api.change),
            web.get("/explain", api.explain),
            web.get("/trace", api.trace),
            web.get("/quarantine", api.quarantine),
            web.post("/quarantine/release", api.release),
            web.get("/evacuations", api.evacuations),
            web.post("/evacuations/begin", api.evacuate),
            web.post("/evacuations/release", api.release_evacuation),
            web.get("/workspaces", api.workspaces),
            web.post("/drain", api.drain),
            web.post("/undrain", api.undrain),
        ]
    )
    return app
