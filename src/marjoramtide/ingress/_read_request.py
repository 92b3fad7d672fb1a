"""Reading and checking what a caller sends."""

import re

from aiohttp import HttpVersion10, HttpVersion11, web

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.exchange import REWRITTEN_REQUEST_HEADERS, Request, end_to_end, is_origin_form
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
# The library bounds each line and their number; the product of both is far more than any backend
# server takes, and would be copied to it for each try.
MAX_HEAD_BYTES = 32 * 1024
TIMEOUT_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,3})?")
VERSIONS = (HttpVersion10, HttpVersion11)


def bad_request(message: str) -> MarjoramtideError:
    """Return the error for a request that breaks the protocol or a header's rules."""
    return MarjoramtideError(ErrorCode.BAD_REQUEST, message, step=STEP)


def single_header(http: web.BaseRequest, name: str) -> str:
    """Return a header that may stand once; two of them could be read differently by each hop."""
    values = http.headers.getall(name, ())
    if len(values) > 1:
        raise bad_request(f"{name} stands {len(values)} times; allowed: once")
    return values[0] if values else ""


def read_timeout(http: web.BaseRequest, settings: RouteSettings) -> float:
    """Return the seconds that the caller gives, bounded by the settings."""
    text = single_header(http, "Request-Timeout-Ms")
    if "Request-Timeout-Ms" not in http.headers:
        return settings.timeout_ms / 1000
    if not TIMEOUT_PATTERN.fullmatch(text) or not float(text):
        raise bad_request(f"Request-Timeout-Ms {text[:40]!r}; allowed: a number above 0")
    return min(float(text), settings.max_timeout_ms) / 1000


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
        raise bad_request(f"Priority u={text[:40]!r}; allowed: 0 to 7")
    return int(text) <= URGENT_URGENCY


def read_depth(http: web.BaseRequest, settings: RouteSettings) -> int:
    """Return how deep this call is: one more than the call that led to it."""
    text = single_header(http, "Marjoramtide-Depth")
    if text and not (text.isascii() and text.isdigit() and len(text) < 6):
        raise bad_request(f"Marjoramtide-Depth {text[:40]!r}; allowed: a whole number")
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
    key = single_header(http, "Idempotency-Key")
    if len(key) > MAX_KEY_CHARACTERS or not key.isprintable():
        raise bad_request(f"Idempotency-Key: at most {MAX_KEY_CHARACTERS} printable characters")
    if "Idempotency-Key" in http.headers and not key:
        raise bad_request("Idempotency-Key is empty")
    return key


def check_values(http: web.BaseRequest) -> None:
    """Raise for a header that could not travel to another node as it is."""
    for name, value in http.headers.items():
        # The library keeps bytes that are no UTF-8 as lone surrogates. CBOR text can't carry them
        # to another node: whether such a request is served would depend on where it goes.
        if not value.isascii() and not is_text(value):
            raise bad_request(f"{name[:40]}; allowed: ASCII or UTF-8")


def is_text(value: str) -> bool:
    """Tell whether a value can be written as UTF-8."""
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def check_head(http: web.BaseRequest, max_bytes: int = MAX_HEAD_BYTES) -> None:
    """Raise where the head is too large, or leaves open where the body ends."""
    if http.version not in VERSIONS:
        raise bad_request("HTTP version; allowed: 1.0 and 1.1")
    size = len(http.raw_path) + sum(len(name) + len(value) for name, value in http.raw_headers)
    if size > max_bytes:
        raise MarjoramtideError(
            ErrorCode.HEAD_TOO_LARGE, f"the head is over {max_bytes} bytes", step=STEP
        )
    codings = http.headers.getall("Transfer-Encoding", ())
    if not codings:
        return
    # A body whose end two hops see at different places lets a caller hide a request in it, which
    # is then taken for another caller's (RFC 9112, sections 6.1 and 11.2). The library refuses
    # most of these too; stating them here keeps it true of any other. A coding before "chunked"
    # is refused since the header that names it does not travel on: the backend server would take
    # the coded bytes for the plain ones.
    if "Content-Length" in http.headers:
        raise bad_request("both Content-Length and Transfer-Encoding")
    if len(codings) > 1 or codings[0].strip().lower() != "chunked":
        raise bad_request("Transfer-Encoding; allowed: chunked")
    if http.version != HttpVersion11:
        raise bad_request("Transfer-Encoding needs HTTP/1.1")


def read_route(http: web.BaseRequest, view: SettingsView) -> RouteSettings:
    """Check what every request must keep to, and return the settings of its route.

    Raises ``bad-request``, ``head-too-large`` or ``unknown-service``.
    """
    check_head(http, view.node_values["max_head_bytes"])
    check_values(http)
    if not is_origin_form(http.raw_path):
        raise bad_request("the request target; allowed: a path with its query, without a fragment")
    if http.method in REFUSED_METHODS:
        raise bad_request(f"method {http.method} is not served")
    host = single_header(http, "Host")
    if not host:
        raise bad_request("no Host header")
    return view.find(host, http.raw_path)


def read_request(
    http: web.BaseRequest, view: SettingsView, tracer: Tracer, now: float
) -> tuple[Request, RouteSettings]:
    """Return the request with the settings of its route; raises what the caller is to be told."""
    settings = read_route(http, view)
    trace = tracer.begin(http.headers.get("Traceparent", ""), settings.trace_share)
    request = Request(
        service=settings.service,
        method=http.method,
        target=http.raw_path,
        headers=end_to_end(http.headers.items(), REWRITTEN_REQUEST_HEADERS),
        urgent=read_urgent(http, settings),
        idempotent=read_idempotent(http.method, settings),
        deadline=now + read_timeout(http, settings),
        depth=read_depth(http, settings),
        idempotency_key=read_key(http),
        trace=trace.header(),
        request_id=http.headers.get("X-Request-Id", "")[:MAX_KEY_CHARACTERS],
        parent_run=single_header(http, "Marjoramtide-Run"),
        rank=settings.rank,
        goal=now + settings.goal_ms / 1000 if settings.goal_ms else float("inf"),
    )
    return request, settings
