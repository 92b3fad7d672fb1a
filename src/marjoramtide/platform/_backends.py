"""The protocol between a node and a backend server of the platform."""

from collections.abc import Iterator

from marjoramtide.exchange import Request, ServerStatement
from marjoramtide.platform._headers import (
    COLD,
    DEADLINE,
    EXPECTED_INSTANCE,
    INSTANCE,
    LOAD,
    NOT_RUN,
    REQUEST_ID,
    RETRY_AFTER,
    SEAL,
    SERVER_LEAVING,
    SERVER_RATE,
    WORKSPACE,
)
from marjoramtide.serving import (
    BackendProtocol,
    BackendResponse,
    BackendState,
    EndpointResponse,
    HealthCheckResult,
    ResponseMetadata,
    ResponseVerdict,
    ServerLoad,
    StatementParser,
)

MISDIRECTED = 421
# By these, callers are told that a request has not run and never will.
GUARANTEES = frozenset((408, MISDIRECTED, 429, 503))
HEALTHY_STATUS = 200
NORMAL_PERCENT = 100.0
LOAD_COUNTS = 3
# Longer counts are rejected as malformed.
MAX_DIGITS = 9
# A larger slowdown than 10,000 is not plausible and is ignored.
MAX_SLOWDOWN = 10_000.0
# No deadline of a caller is as long as a day, and no server is cold for a day.
MAX_RETRY_AFTER_S = 86_400.0
MAX_COLD_MS = 86_400_000.0
STATEMENT_PARSER = StatementParser(SERVER_RATE, SERVER_LEAVING)


class PlatformBackendProtocol(BackendProtocol):
    """Deadlines, expected instances, response signatures and load in headers."""

    internal_response_headers = frozenset(
        name.lower() for name in ("Content-Length", "Date", "Server", LOAD, INSTANCE)
    )
    names_requests = True

    def request_headers(
        self, request: Request, remaining_ms: float, instance: str
    ) -> Iterator[tuple[str, str]]:
        yield DEADLINE, str(max(1, int(remaining_ms)))
        if instance:
            yield EXPECTED_INSTANCE, instance
        if request.workspace and not request.is_call:
            yield WORKSPACE, request.workspace

    def named_request(self, reply: BackendResponse) -> str:
        return reply.header(REQUEST_ID.lower())

    def read_response(self, reply: BackendResponse) -> ResponseMetadata:
        leaving = "close" in reply.header("connection").lower()
        load = read_load(reply.header(LOAD.lower()))
        instance = reply.header(INSTANCE.lower())
        retry_after_ms = read_retry_after(reply.header(RETRY_AFTER.lower()))
        verdict = ResponseVerdict.ANSWERED
        if reply.status == MISDIRECTED:
            verdict = ResponseVerdict.MISDIRECTED
        elif reply.header(NOT_RUN.lower()):
            verdict = ResponseVerdict.REFUSED
        elif reply.status < 300 and not reply.header(SEAL.lower()):
            verdict = ResponseVerdict.INVALID
        statement, malformed = read_statement(reply)
        return ResponseMetadata(
            verdict,
            leaving,
            retry_after_ms,
            load,
            instance,
            statement,
            malformed,
            is_unproven_rejection=(
                verdict is ResponseVerdict.ANSWERED and reply.status in GUARANTEES
            ),
        )

    def read_health(self, answer: EndpointResponse) -> HealthCheckResult:
        state = BackendState.READY if answer.status == HEALTHY_STATUS else BackendState.DOWN
        if answer.status == 503:
            state = BackendState.DRAINING
        load = read_load(answer.header(LOAD.lower()))
        cold_left_s = read_cold(answer.header(COLD.lower()))
        instance = answer.header(INSTANCE.lower())
        statement, malformed = read_statement(answer)
        return HealthCheckResult(
            state,
            instance,
            load,
            cold_remaining_s=cold_left_s,
            statement=statement,
            malformed=malformed,
        )


def read_statement(
    answer: BackendResponse | EndpointResponse,
) -> tuple[ServerStatement, tuple[str, ...]]:
    """Read the rate and leaving statement of a server, and which of its headers are malformed."""
    return STATEMENT_PARSER.parse(
        answer.header_values(SERVER_RATE.lower()),
        answer.header_values(SERVER_LEAVING.lower()),
    )


def read_load(text: str) -> ServerLoad | None:
    """Read a load header; ``None`` if it is missing or malformed."""
    counts, percent = text.split(",")[:LOAD_COUNTS], text.split(",")[LOAD_COUNTS:]
    if len(counts) < LOAD_COUNTS or not all(map(is_count, counts)):
        return None
    slowdown = read_slowdown(percent[0]) if percent else 1.0
    if slowdown is None:
        return None
    running, queued, slots = map(int, counts)
    return ServerLoad(running, queued, slots, slowdown)


def is_count(text: str) -> bool:
    """Return whether a text is a non-negative integer of at most ``MAX_DIGITS`` digits."""
    return text.isascii() and text.strip(" ").isdigit() and len(text) <= MAX_DIGITS


def read_slowdown(text: str) -> float | None:
    """Read the current execution time in percent of the usual one; returns a factor."""
    try:
        slowdown = float(text) / NORMAL_PERCENT
    except ValueError:
        return None
    return slowdown if 0 < slowdown <= MAX_SLOWDOWN else None


def read_cold(text: str) -> float | None:
    """Read milliseconds; returns seconds, ``None`` if invalid."""
    try:
        remaining_ms = float(text)
    except ValueError:
        return None
    return remaining_ms / 1000 if 0 <= remaining_ms <= MAX_COLD_MS else None


def read_retry_after(text: str) -> int | None:
    """Read seconds with a fraction; returns milliseconds, ``None`` if invalid."""
    try:
        seconds = float(text)
    except ValueError:
        return None
    return round(seconds * 1000) if 0 <= seconds <= MAX_RETRY_AFTER_S else None
