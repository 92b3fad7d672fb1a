"""Reading and checking what a caller sends."""

import math
import re

from aiohttp import web

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.exchange import OWN_REQUEST, Request, end_to_end
from marjoramtide.settings import RouteSettings, SettingsView
from marjoramtide.telemetry import Tracer

STEP = "ingress.read"
# RFC 9110, section 9.2.2.
IDEMPOTENT_METHODS = frozenset(("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"))
REFUSED_METHODS = frozenset(("CONNECT", "TRACE"))
URGENT_URGENCY = 1
# RFC 9218: a structured dictionary; only the urgency matters here.
PRIORITY_PATTERN = re.compile(r"(?:^|,)\s*u=([^,;]*)")
MAX_KEY_CHARACTERS = 255


def bad(message: str) -> MarjoramtideError:
    """Return the error for a request that breaks the protocol or a header's rules."""
    return MarjoramtideError(ErrorCode.BAD_REQUEST, message, step=STEP)


def single(http: web.BaseRequest, name: str) -> str:
    """Return a header that may stand once; two of them could be read differently by each hop."""
    values = http.headers.getall(name, ())
    if len(values) > 1:
        raise bad(f"{name} stands {len(values)} times; allowed: once")
    return values[0] if values else ""


def read_timeout(http: web.BaseRequest, settings: RouteSettings) -> float:
    """Return the seconds that the caller gives, bounded by the settings."""
    text = single(http, "Request-Timeout-Ms")
    if not text:
        return settings.timeout_ms / 1000
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not 0 < value < math.inf:
        raise bad(f"Request-Timeout-Ms {text[:40]!r}; allowed: a number above 0")
    return min(value, settings.max_timeout_ms) / 1000


def read_urgent(http: web.BaseRequest, settings: RouteSettings) -> bool:
    """Tell whether the request is urgent: RFC 9218 urgency 0 or 1, or fixed by the route."""
    if settings.priority != "caller":
        return settings.priority == "urgent"
    header = ",".join(http.headers.getall("Priority", ()))
    match = PRIORITY_PATTERN.search(header)
    if match is None:
        return False
    text = match[1].strip()
    if text not in ("0", "1", "2", "3", "4", "5", "6", "7"):
        raise bad(f"Priority u={text[:40]!r}; allowed: 0 to 7")
    return int(text) <= URGENT_URGENCY


def read_depth(http: web.BaseRequest, settings: RouteSettings) -> int:
    """Return how deep this call is: one more than the call that led to it."""
    text = single(http, "Marjoramtide-Depth")
    if text and not (text.isascii() and text.isdigit() and len(text) < 6):
        raise bad(f"Marjoramtide-Depth {text[:40]!r}; allowed: a whole number")
    depth = int(text or 0) + 1
    if depth > settings.max_depth:
        raise MarjoramtideError(
            ErrorCode.DEPTH_EXCEEDED,
            f"the request is {depth} calls deep; allowed: {settings.max_depth}",
            step=STEP,
        )
    return depth


def read_idempotent(method: str, settings: RouteSettings) -> bool:
    """Tell whether the request may run more than once."""
    if settings.idempotent == "method":
        return method in IDEMPOTENT_METHODS
    return settings.idempotent == "yes"


def read_key(http: web.BaseRequest) -> str:
    """Return the ``Idempotency-Key``, or an empty string."""
    key = single(http, "Idempotency-Key")
    if len(key) > MAX_KEY_CHARACTERS or not key.isprintable():
        raise bad(f"Idempotency-Key: at most {MAX_KEY_CHARACTERS} printable characters")
    if "Idempotency-Key" in http.headers and not key:
        raise bad("Idempotency-Key is empty")
    return key


def read_request(
    http: web.BaseRequest, view: SettingsView, tracer: Tracer, now: float
) -> tuple[Request, RouteSettings]:
    """Return the request with the settings of its route; raises what the caller is to be told."""
    target = http.raw_path
    if not target.startswith("/"):
        raise bad("the request target must be a path")
    if http.method in REFUSED_METHODS:
        raise bad(f"method {http.method} is not served")
    host = single(http, "Host")
    if not host:
        raise bad("no Host header")
    if "Transfer-Encoding" in http.headers and "Content-Length" in http.headers:
        # Two lengths let two hops disagree where a request ends, so that the rest is taken for
        # another caller's request (RFC 9112, section 6.1). The library refuses it too; stating it
        # here keeps it true of any other.
        raise bad("both Content-Length and Transfer-Encoding")
    service = view.service_for_host(host)
    if service is None:
        raise MarjoramtideError(
            ErrorCode.UNKNOWN_SERVICE, f"no service answers for host {host[:100]!r}", step=STEP
        )
    settings = view.route(service, target)
    trace = tracer.begin(http.headers.get("Traceparent", ""), settings.trace_share)
    request = Request(
        service=service,
        method=http.method,
        target=target,
        headers=end_to_end(http.headers.items(), OWN_REQUEST),
        urgent=read_urgent(http, settings),
        idempotent=read_idempotent(http.method, settings),
        deadline=now + read_timeout(http, settings),
        depth=read_depth(http, settings),
        key=read_key(http),
        trace=trace.header(),
    )
    return request, settings
