"""Error responses of the operators' API."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any

import structlog
from aiohttp import web

from marjoramtide.errors import ErrorCode, MarjoramtideError

log = structlog.get_logger()

HTTP_STATUSES = {
    ErrorCode.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
    ErrorCode.BAD_SETTINGS: HTTPStatus.BAD_REQUEST,
    ErrorCode.NOT_FOUND: HTTPStatus.NOT_FOUND,
    ErrorCode.UNKNOWN_SERVICE: HTTPStatus.NOT_FOUND,
    ErrorCode.BRANCH_CONFLICT: HTTPStatus.CONFLICT,
    ErrorCode.VERSION_CONFLICT: HTTPStatus.CONFLICT,
    ErrorCode.INTERNAL: HTTPStatus.INTERNAL_SERVER_ERROR,
}


def describe_error(error: MarjoramtideError) -> dict[str, Any]:
    """Return the JSON fields of an error."""
    return {
        "code": str(error.code),
        "message": error.message,
        "step": error.step,
        "peer": error.peer,
    }


def log_internal_error(error: Exception, step: str) -> MarjoramtideError:
    """Log an unexpected exception and return it as an ``internal`` error for the response."""
    log.exception("operators.internal_error", step=step, code=ErrorCode.INTERNAL)
    return MarjoramtideError(ErrorCode.INTERNAL, f"{type(error).__name__}: {error}", step=step)


@web.middleware
async def errors_as_json(
    request: web.Request, handler: Callable[[web.Request], Awaitable[web.StreamResponse]]
) -> web.StreamResponse:
    """Respond to errors with their code, message, step and peer as JSON."""
    try:
        return await handler(request)
    except MarjoramtideError as error:
        reported = error
    except web.HTTPException as error:
        message = f"{request.method} {request.path}: {error.reason}"
        reported = MarjoramtideError(ErrorCode.BAD_REQUEST, message, step="operators.route")
    except Exception as error:
        reported = log_internal_error(error, f"operators{request.path.replace('/', '.')}")
    status = HTTP_STATUSES.get(reported.code, HTTPStatus.SERVICE_UNAVAILABLE)
    return web.json_response({"error": describe_error(reported)}, status=status)
