"""The HTTP endpoints of a node for the platform and its backend servers."""

from collections.abc import Callable

from aiohttp import web

from marjoramtide.checked import MalformedError, parse_json
from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.platform._heartbeat import read_departure, read_identity, read_registration
from marjoramtide.serving import Registrar

READINESS_PATH = "/readiness"
INSTANCE_PATH = "/instances/{instance}"
# Far above the size of any heartbeat. The response must fit into 4 KiB and is nearly empty.
MAX_BODY_BYTES = 64 * 1024


def make_readiness_app(is_ready: Callable[[], bool]) -> web.Application:
    """Return the application that reports whether callers may be sent to this node."""

    async def readiness(_: web.Request) -> web.Response:
        return web.Response(status=200 if is_ready() else 503)

    app = web.Application()
    app.router.add_get(READINESS_PATH, readiness)
    return app


def make_registration_app(registrar: Registrar) -> web.Application:
    """Return the application to which this node's backend server sends heartbeats.

    Other programs may send requests too: an invalid heartbeat is rejected and changes nothing.
    """

    async def heartbeat(http_request: web.Request) -> web.Response:
        instance = http_request.match_info["instance"]
        try:
            registration = read_registration(instance, parse_json(await http_request.read()))
            await registrar.register(registration)
        except MalformedError as error:
            registrar.reject_malformed(instance, str(error))
            return error_response(400, f"invalid heartbeat: {error}")
        except MarjoramtideError as error:
            return error_response(
                400 if error.code is ErrorCode.BAD_REQUEST else 503, error.message
            )
        return web.json_response({})

    async def deregister(http_request: web.Request) -> web.Response:
        instance = http_request.match_info["instance"]
        try:
            body = await http_request.read()
            born = read_departure(parse_json(body)) if body else None
            registrar.deregister(read_identity(instance), born)
        except MalformedError as error:
            registrar.reject_malformed(instance, str(error))
            return error_response(400, f"invalid deregistration: {error}")
        return web.json_response({})

    app = web.Application(client_max_size=MAX_BODY_BYTES)
    app.router.add_put(INSTANCE_PATH, heartbeat)
    app.router.add_delete(INSTANCE_PATH, deregister)
    return app


def error_response(status: int, reason: str) -> web.Response:
    return web.json_response({"Error": reason}, status=status)
