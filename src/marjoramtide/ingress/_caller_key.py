"""The API key that a caller sends with a request."""

from aiohttp import web

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.exchange import Request

STEP = "ingress.authenticate"
HEADER = "Authorization"


def read_caller_key(http_request: web.BaseRequest, scheme: str) -> str:
    """Return the key, or an empty string without an ``Authorization`` header.

    Raises ``unauthenticated`` for more than one, for another scheme and for an empty key.
    """
    values = http_request.headers.getall(HEADER, ())
    if not values:
        return ""
    if len(values) > 1:
        raise unauthenticated("more than one key")
    given, _, key = values[0].strip().partition(" ")
    if given.lower() != scheme.lower() or not key.strip():
        raise unauthenticated(f"the Authorization header has no {scheme} key")
    return key.strip()


def without_key(request: Request) -> tuple[tuple[str, str], ...]:
    """Return the headers of a request without ``Authorization``."""
    name = HEADER.lower()
    return tuple(header for header in request.headers if header[0].lower() != name)


def unauthenticated(reason: str) -> MarjoramtideError:
    """Return the error for a request whose caller can't be identified."""
    return MarjoramtideError(ErrorCode.UNAUTHENTICATED, reason, step=STEP)
