"""Errors as operators' programs read them."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any

import structlog
from aiohttp import web

from marjoramtide.errors import ErrorCode, MarjoramtideError

log = structlog.get_logger()

STATUS_OF = {
    ErrorCode.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
    ErrorCode.BAD_SETTINGS: HTTPStatus.BAD_REQUEST,
    ErrorCode.NOT_FOUND: HTTPStatus.NOT_FOUND,
    ErrorCode.UNKNOWN_SERVICE: HTTPStatus.NOT_FOUND,
    ErrorCode.BRANCH_CONFLICT: HTTPStatus.CONFLICT,
    ErrorCode.VERSION_CONFLICT: HTTPStatus.CONFLICT,
    ErrorCode.INTERNAL: HTTPStatus.INTERNAL_SERVER_ERROR,
}


def describe(error: MarjoramtideError) -> dict[str, Any]:
    """Return an error as plain values."""
    return {
        "code": str(error.code),
        "message": error.message,
        "step": error.step,
        "peer": error.peer,
    }


def internal(error: Exception, step: str) -> MarjoramtideError:
    """Log a fault of the program and return what operators are told of it."""
    log.exception("operators.fault", step=step, code=ErrorCode.INTERNAL)
    return MarjoramtideError(ErrorCode.INTERNAL, f"{type(error).__name__}: {error}", step=step)


@web.middleware
async def errors_as_json(
    request: web.Request, handler: Callable[[web.Request], Awaitable[web.StreamResponse]]
) -> web.StreamResponse:
    """Answer errors with their code, message, step and peer."""
    try:
        return await handler(request)
    except MarjoramtideError as error:
        found = error
    except web.HTTPException as error:
        message = f"{request.method} {request.path}: {error.reason}"
        found = MarjoramtideError(ErrorCode.BAD_REQUEST, message, step="operators.route")
    except Exception as error:
        found = internal(error, f"operators{request.path.replace('/', '.')}")
    status = STATUS_OF.get(found.code, HTTPStatus.SERVICE_UNAVAILABLE)
    return web.json_response({"error": describe(found)}, status=status)
