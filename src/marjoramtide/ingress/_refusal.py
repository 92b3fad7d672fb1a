"""HTTP responses to requests that failed."""

import math

from aiohttp import web

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.exchange import Outcome, UnknownOutcomeError

# The HTTP status and the RFC 9209 error type by code, for requests that certainly did not run. The
# default is 503 and proxy_internal_error.
NOT_RUN_STATUSES = {
    ErrorCode.BAD_REQUEST: (400, "http_request_error"),
    ErrorCode.UNKNOWN_SERVICE: (404, "destination_not_found"),
    ErrorCode.DEPTH_EXCEEDED: (508, "proxy_loop_detected"),
    ErrorCode.BODY_TOO_LARGE: (413, "http_request_error"),
    ErrorCode.HEAD_TOO_LARGE: (431, "http_request_error"),
    ErrorCode.SLOW_CALLER: (408, "http_request_error"),
    ErrorCode.KEY_REUSED: (422, "http_request_denied"),
    ErrorCode.UNAUTHENTICATED: (401, "http_request_denied"),
    ErrorCode.WORKSPACE_LIMITED: (429, "http_request_denied"),
    ErrorCode.QUOTA_UNKNOWN: (503, "destination_unavailable"),
    ErrorCode.KEY_UNVERIFIED: (503, "proxy_internal_error"),
    ErrorCode.QUARANTINED: (503, "http_request_denied"),
    ErrorCode.OVERLOADED: (503, "connection_limit_reached"),
    ErrorCode.CALLS_SHORT: (503, "connection_limit_reached"),
    ErrorCode.RATE_LIMITED: (503, "connection_limit_reached"),
    ErrorCode.DEADLINE: (503, "connection_limit_reached"),
    ErrorCode.DRAINING: (503, "destination_unavailable"),
    ErrorCode.NO_CANDIDATE: (503, "destination_unavailable"),
    ErrorCode.CONNECT_FAILED: (503, "connection_refused"),
    ErrorCode.STORE_UNAVAILABLE: (503, "proxy_internal_error"),
    ErrorCode.STALE_SETTINGS: (503, "proxy_internal_error"),
}
# The same for requests with an unknown outcome. The default is 502 and connection_terminated.
UNKNOWN_STATUSES = {
    ErrorCode.BAD_REQUEST: (400, "http_request_error"),
    ErrorCode.BODY_TOO_LARGE: (413, "http_request_error"),
    ErrorCode.INTERNAL: (500, "proxy_internal_error"),
    ErrorCode.DEADLINE: (504, "http_response_timeout"),
    ErrorCode.TRUNCATED: (502, "http_response_incomplete"),
    ErrorCode.DUPLICATE_KEY: (409, "http_request_denied"),
}


def refusal(error: MarjoramtideError, node: str) -> web.Response:
    """Return the final response to a request that failed with ``error``.

    It is sent at once and never delayed until the deadline. ``Retry-After`` (whole seconds, RFC
    9110) and ``Retry-After-Ms`` tell the caller when to retry.
    """
    is_unknown = isinstance(error, UnknownOutcomeError)
    if is_unknown:
        status, error_type = UNKNOWN_STATUSES.get(error.code, (502, "connection_terminated"))
    else:
        status, error_type = NOT_RUN_STATUSES.get(error.code, (503, "proxy_internal_error"))
    headers = {
        "Proxy-Status": f'marjoramtide; error={error_type}; details="{error.code}"',
        "Request-Outcome": Outcome.UNKNOWN if is_unknown else Outcome.NOT_RUN,
        "Marjoramtide-Node": node,
        "Server": "marjoramtide",
    }
    if error.code is ErrorCode.UNAUTHENTICATED:
        headers["WWW-Authenticate"] = "Bearer"
    if error.retry_after_ms is not None:
        headers["Retry-After"] = str(math.ceil(error.retry_after_ms / 1000))
        headers["Retry-After-Ms"] = str(error.retry_after_ms)
    return web.Response(status=status, headers=headers, text=f"{error.code}: {error.message}\n")
