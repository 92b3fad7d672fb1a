"""What backend servers speak on the platform."""

from collections.abc import Iterator

from marjoramtide.exchange import Request
from marjoramtide.platform._headers import (
    DEADLINE,
    EXPECTED_INSTANCE,
    INSTANCE,
    LOAD,
    NOT_RUN,
    REQUEST_ID,
    RETRY_AFTER,
    SEAL,
)
from marjoramtide.serving import (
    BackendProtocol,
    BackendReply,
    BackendState,
    EndpointAnswer,
    HealthReading,
    ReplyReading,
    ReplyVerdict,
    ServerLoad,
)

MISDIRECTED = 421
HEALTHY = 200
USUAL_SLOWDOWN = 100.0
LOAD_FIGURES = 3


class PlatformBackend(BackendProtocol):
    """Deadlines, expected instances, seals and load in headers."""

    own_answer_headers = frozenset(
        name.lower() for name in ("Content-Length", "Date", "Server", LOAD, INSTANCE)
    )

    def request_headers(
        self, request: Request, remaining_ms: float, instance: str
    ) -> Iterator[tuple[str, str]]:
        yield DEADLINE, str(max(1, int(remaining_ms)))
        if instance:
            yield EXPECTED_INSTANCE, instance

    def belongs(self, request_id: str, reply: BackendReply) -> bool:
        echoed = reply.header(REQUEST_ID.lower())
        return not echoed or not request_id or echoed == request_id

    def read_reply(self, reply: BackendReply) -> ReplyReading:
        leaving = "close" in reply.header("connection").lower()
        load = read_load(reply.header(LOAD.lower()))
        instance = reply.header(INSTANCE.lower())
        retry_after_ms = read_retry_after(reply.header(RETRY_AFTER.lower()))
        verdict = ReplyVerdict.ANSWERED
        if reply.status == MISDIRECTED:
            verdict = ReplyVerdict.MISDIRECTED
        elif reply.header(NOT_RUN.lower()):
            verdict = ReplyVerdict.REFUSED
        elif reply.status < 300 and not reply.header(SEAL.lower()):
            verdict = ReplyVerdict.SPOILED
        return ReplyReading(verdict, leaving, retry_after_ms, load, instance)

    def read_health(self, answer: EndpointAnswer) -> HealthReading:
        state = BackendState.READY if answer.status == HEALTHY else BackendState.DOWN
        if answer.status == 503:
            state = BackendState.DRAINING
        load = read_load(answer.header(LOAD.lower()))
        return HealthReading(state, answer.header(INSTANCE.lower()), load)


def read_load(text: str) -> ServerLoad | None:
    """Read a load header; ``None`` where it is missing or of another form."""
    try:
        figures = [float(part) for part in text.split(",")]
    except ValueError:
        return None
    if len(figures) < LOAD_FIGURES:
        return None
    running, waiting, slots = map(int, figures[:LOAD_FIGURES])
    percent = figures[LOAD_FIGURES] if len(figures) > LOAD_FIGURES else USUAL_SLOWDOWN
    return ServerLoad(running, waiting, slots, percent / USUAL_SLOWDOWN)


def read_retry_after(text: str) -> int | None:
    """Read seconds with a fraction; returns milliseconds, ``None`` where it says nothing."""
    try:
        return max(0, round(float(text) * 1000)) if text else None
    except (ValueError, OverflowError):
        return None
