"""Parsing and validation of callers' requests."""

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
# An urgency of up to this value (RFC 9218; 0 is the highest) makes a request urgent.
MAX_URGENT_URGENCY = 1
# RFC 9218: a structured dictionary, of which only the urgency is used.
PRIORITY_PATTERN = re.compile(r"(?:^|,)\s*u=([^,;]*)")
MAX_KEY_CHARACTERS = 255
# aiohttp limits the length and the number of lines. Their product is far more than any backend
# server accepts, and the head would be copied for each attempt.
MAX_HEAD_BYTES = 32 * 1024
TIMEOUT_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,3})?")
VERSIONS = (HttpVersion10, HttpVersion11)


def bad_request(message: str) -> MarjoramtideError:
    """Return the error for a request that violates HTTP or the rules of a header."""
    return MarjoramtideError(ErrorCode.BAD_REQUEST, message, step=STEP)


def single_header(http_request: web.BaseRequest, name: str) -> str:
    """Return a header that may occur only once, since each hop could read two differently."""
    values = http_request.headers.getall(name, ())
    if len(values) > 1:
        raise bad_request(f"{name} occurs {len(values)} times; allowed: once")
    return values[0] if values else ""


def read_timeout(http_request: web.BaseRequest, settings: RouteSettings) -> float:
    """Return the timeout requested by the caller in seconds, limited by the settings."""
    text = single_header(http_request, "Request-Timeout-Ms")
    if "Request-Timeout-Ms" not in http_request.headers:
        return settings.timeout_ms / 1000
    if not TIMEOUT_PATTERN.fullmatch(text) or not float(text):
        raise bad_request(f"Request-Timeout-Ms {text[:40]!r}; allowed: a number above 0")
    return min(float(text), settings.max_timeout_ms) / 1000


def read_urgent(http_request: web.BaseRequest, settings: RouteSettings) -> bool:
    """Return whether the request is urgent: by RFC 9218 urgency 0 or 1, or as set by the route."""
    if settings.priority != "caller":
        return settings.priority == "urgent"
    header = ",".join(http_request.headers.getall("Priority", ()))
    match = PRIORITY_PATTERN.search(header)
    if match is None:
        return False
    text = match[1].strip()
    if text not in ("0", "1", "2", "3", "4", "5", "6", "7"):
        raise bad_request(f"Priority u={text[:40]!r}; allowed: 0 to 7")
    return int(text) <= MAX_URGENT_URGENCY


def read_depth(http_request: web.BaseRequest, settings: RouteSettings) -> int:
    """Return the nesting depth of this call: one more than that of its parent."""
    text = single_header(http_request, "Marjoramtide-Depth")
    if text and not (text.isascii() and text.isdigit() and len(text) < 6):
        raise bad_request(f"Marjoramtide-Depth {text[:40]!r}; allowed: a whole number")
    depth = int(text or 0) + 1
    if depth > settings.max_depth:
        raise MarjoramtideError(
            ErrorCode.DEPTH_EXCEEDED,
            f"the request is nested {depth} calls deep; allowed: {settings.max_depth}",
            step=STEP,
        )
    return depth


def read_idempotent(method: str, settings: RouteSettings) -> bool:
    """Return whether the request may run more than once."""
    if settings.idempotent == "method":
        return method in IDEMPOTENT_METHODS
    return settings.idempotent == "yes"


def read_idempotency_key(http_request: web.BaseRequest) -> str:
    """Return the ``Idempotency-Key``, or an empty string."""
    key = single_header(http_request, "Idempotency-Key")
    if len(key) > MAX_KEY_CHARACTERS or not key.isprintable():
        raise bad_request(f"Idempotency-Key: at most {MAX_KEY_CHARACTERS} printable characters")
    if "Idempotency-Key" in http_request.headers and not key:
        raise bad_request("Idempotency-Key is empty")
    return key


def check_header_values(http_request: web.BaseRequest) -> None:
    """Raise ``bad-request`` for a header value that can't be sent to another node unchanged."""
    for name, value in http_request.headers.items():
        # aiohttp represents bytes that are not UTF-8 as lone surrogates, which CBOR text can't
        # encode: whether such a request is served would depend on the node it is sent to.
        if not value.isascii() and not is_utf8(value):
            raise bad_request(f"{name[:40]}; allowed: ASCII or UTF-8")


def is_utf8(value: str) -> bool:
    """Return whether a value can be encoded as UTF-8."""
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def check_head(http_request: web.BaseRequest, max_bytes: int = MAX_HEAD_BYTES) -> None:
    """Raise an error if the head is too large, or ambiguous about the end of the body."""
    if http_request.version not in VERSIONS:
        raise bad_request("HTTP version; allowed: 1.0 and 1.1")
    size = len(http_request.raw_path) + sum(
        len(name) + len(value) for name, value in http_request.raw_headers
    )
    if size > max_bytes:
        raise MarjoramtideError(
            ErrorCode.HEAD_TOO_LARGE, f"the head is over {max_bytes} bytes", step=STEP
        )
    codings = http_request.headers.getall("Transfer-Encoding", ())
    if not codings:
        return
    # Request smuggling: if two hops disagree about the end of a body, a caller can hide a request
    # in it that is then taken for another caller's (RFC 9112, sections 6.1 and 11.2). aiohttp
    # refuses most of these too; the checks here make sure of it with any HTTP library. A coding
    # before "chunked" is refused because its header is not forwarded: the backend server would take
    # the encoded bytes for the body itself.
    if "Content-Length" in http_request.headers:
        raise bad_request("both Content-Length and Transfer-Encoding")
    if len(codings) > 1 or codings[0].strip().lower() != "chunked":
        raise bad_request("Transfer-Encoding; allowed: chunked")
    if http_request.version != HttpVersion11:
        raise bad_request("Transfer-Encoding requires HTTP/1.1")


def read_route(http_request: web.BaseRequest, view: SettingsView) -> RouteSettings:
    """Validate the parts common to all requests, and return the settings of the route.

    Raises ``bad-request``, ``head-too-large`` or ``unknown-service``.
    """
    check_head(http_request, view.node_values["max_head_bytes"])
    check_header_values(http_request)
    if not is_origin_form(http_request.raw_path):
        raise bad_request("the request target; allowed: a path with its query, without a fragment")
    if http_request.method in REFUSED_METHODS:
        raise bad_request(f"method {http_request.method} is not served")
    host = single_header(http_request, "Host")
    if not host:
        raise bad_request("no Host header")
    return view.find(host, http_request.raw_path)


def read_request(
    http_request: web.BaseRequest, view: SettingsView, tracer: Tracer, now: float
) -> tuple[Request, RouteSettings]:
    """Return the request with the settings of its route; raises the error for the caller."""
    settings = read_route(http_request, view)
    trace = tracer.start_trace(http_request.headers.get("Traceparent", ""), settings.trace_share)
    request = Request(
        service=settings.service,
        method=http_request.method,
        target=http_request.raw_path,
        headers=end_to_end(http_request.headers.items(), REWRITTEN_REQUEST_HEADERS),
        urgent=read_urgent(http_request, settings),
        idempotent=read_idempotent(http_request.method, settings),
        deadline=now + read_timeout(http_request, settings),
        depth=read_depth(http_request, settings),
        idempotency_key=read_idempotency_key(http_request),
        trace=trace.traceparent(),
        request_id=http_request.headers.get("X-Request-Id", "")[:MAX_KEY_CHARACTERS],
        parent_run=single_header(http_request, "Marjoramtide-Run"),
        rank=settings.rank,
        goal=now + settings.goal_ms / 1000 if settings.goal_ms else float("inf"),
    )
    return request, settings
