"""What the platform and its backend servers call on a node."""

from collections.abc import Callable
from typing import Any

from aiohttp import web

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.serving import Registrar, Registration

READINESS = "/readiness"
INSTANCES = "/instances/{instance}"
DRAINING = "draining"
# Far above any heartbeat; the acknowledgement must fit 4 KiB, and is nearly empty.
MAX_BODY_BYTES = 64 * 1024


def make_readiness_app(is_ready: Callable[[], bool]) -> web.Application:
    """Return the application that tells whether callers may be sent to this node."""

    async def readiness(_: web.Request) -> web.Response:
        return web.Response(status=200 if is_ready() else 503)

    app = web.Application()
    app.router.add_get(READINESS, readiness)
    return app


def make_registration_app(registrar: Registrar) -> web.Application:
    """Return the application to which the backend server beside this node sends heartbeats."""

    async def heartbeat(http: web.Request) -> web.Response:
        try:
            heard = read_registration(http.match_info["instance"], await http.json())
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            return refused(400, f"not a heartbeat: {error!r}")
        try:
            await registrar.register(heard)
        except MarjoramtideError as error:
            return refused(400 if error.code is ErrorCode.BAD_REQUEST else 503, error.message)
        return web.json_response({})

    async def leave(http: web.Request) -> web.Response:
        registrar.depart(http.match_info["instance"])
        return web.json_response({})

    app = web.Application(client_max_size=MAX_BODY_BYTES)
    app.router.add_put(INSTANCES, heartbeat)
    app.router.add_delete(INSTANCES, leave)
    return app


def refused(status: int, reason: str) -> web.Response:
    return web.json_response({"Error": reason}, status=status)


def read_registration(instance: str, body: dict[str, Any]) -> Registration:
    """Read the body of a heartbeat; raises ``KeyError``, ``TypeError`` or ``ValueError``."""
    info, status = body["Info"], body["Status"]
    return Registration(
        instance=instance,
        address=str(body.get("Address", "")),
        service=str(info["Service"]),
        data_centre=str(info.get("Zone", "")),
        software=str(info.get("Version", "")),
        slots=int(info["Slots"]),
        draining=status["State"] == DRAINING,
        sequence=int(status["SeqNo"]),
        cold_left_s=float(status.get("ColdLeftMs") or 0) / 1000,
    )
