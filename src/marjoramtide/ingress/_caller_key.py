"""The key that a caller sends with a request."""

from aiohttp import web

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.exchange import Request

STEP = "ingress.authenticate"
HEADER = "Authorization"


def read_caller_key(http: web.BaseRequest, scheme: str) -> str:
    """Return the key; empty where there is no ``Authorization``.

    Raises ``unauthenticated`` for more than one, for another scheme and for an empty key.
    """
    values = http.headers.getall(HEADER, ())
    if not values:
        return ""
    if len(values) > 1:
        raise unauthenticated("more than one key")
    given, _, key = values[0].strip().partition(" ")
    if given.lower() != scheme.lower() or not key.strip():
        raise unauthenticated(f"no key of the scheme {scheme}")
    return key.strip()


def without_key(request: Request) -> tuple[tuple[str, str], ...]:
    """Return the headers of a request without its key."""
    name = HEADER.lower()
    return tuple(header for header in request.headers if header[0].lower() != name)


def unauthenticated(reason: str) -> MarjoramtideError:
    """Return the error for a request whose caller isn't known."""
    return MarjoramtideError(ErrorCode.UNAUTHENTICATED, reason, step=STEP)
