"""What the platform and its backend servers call on a node."""

from collections.abc import Callable

from aiohttp import web

from marjoramtide.checked import MalformedError, parse_json
from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.platform._heartbeat import read_departure, read_identity, read_registration
from marjoramtide.serving import Registrar

READINESS = "/readiness"
INSTANCES = "/instances/{instance}"
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
    """Return the application to which the backend server beside this node sends heartbeats.

    Others may write there too: what isn't a sound heartbeat is refused and changes nothing.
    """

    async def heartbeat(http: web.Request) -> web.Response:
        instance = http.match_info["instance"]
        try:
            heard = read_registration(instance, parse_json(await http.read()))
            await registrar.register(heard)
        except MalformedError as error:
            registrar.reject_malformed(instance, str(error))
            return refused(400, f"not a heartbeat: {error}")
        except MarjoramtideError as error:
            return refused(400 if error.code is ErrorCode.BAD_REQUEST else 503, error.message)
        return web.json_response({})

    async def leave(http: web.Request) -> web.Response:
        instance = http.match_info["instance"]
        try:
            body = await http.read()
            born = read_departure(parse_json(body)) if body else None
            registrar.deregister(read_identity(instance), born)
        except MalformedError as error:
            registrar.reject_malformed(instance, str(error))
            return refused(400, f"not a departure: {error}")
        return web.json_response({})

    app = web.Application(client_max_size=MAX_BODY_BYTES)
    app.router.add_put(INSTANCES, heartbeat)
    app.router.add_delete(INSTANCES, leave)
    return app


def refused(status: int, reason: str) -> web.Response:
    return web.json_response({"Error": reason}, status=status)
