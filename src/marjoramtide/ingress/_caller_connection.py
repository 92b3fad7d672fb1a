"""One caller's connection."""

import asyncio
from typing import Any

import structlog
from aiohttp import web
from aiohttp.http_exceptions import BadHttpMessage, HttpProcessingError, LineTooLong

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.exchange import MAX_INLINE_BYTES, UnknownOutcomeError
from marjoramtide.ingress._caller_protocol import CallerProtocol
from marjoramtide.sockets import BoundedConnection
from marjoramtide.telemetry import Metrics

log = structlog.get_logger()

STEP = "ingress.parse"
TOO_MANY_HEADERS = "Too many headers received"
MAX_REASON_CHARACTERS = 100
# The flow-control window of a response from another node.
STREAMED_RESPONSE_BYTES = 320 * 1024


class CallerConnection(BoundedConnection):
    """aiohttp's connection with timeouts for slow callers and our own error responses."""

    __slots__ = (
        "added_idle_s",
        "head_timeout_s",
        "head_timer",
        "metrics",
        "node",
        "protocol",
        "stall_timeout_s",
        "stall_timer",
    )

    kept_body_bytes = MAX_INLINE_BYTES
    streamed_response_bytes = STREAMED_RESPONSE_BYTES

    def __init__(
        self,
        node: str,
        protocol: CallerProtocol,
        metrics: Metrics,
        head_timeout_s: float,
        stall_timeout_s: float,
        *args: Any,
        **kwargs: Any,
    ) -> None:
        super().__init__(*args, **kwargs)
        self.node = node
        self.protocol = protocol
        self.metrics = metrics
        self.head_timeout_s = head_timeout_s
        self.head_timer: asyncio.TimerHandle | None = None
        self.added_idle_s = 0.0
        self.stall_timeout_s = stall_timeout_s
        self.stall_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if not self._force_close:
            # aiohttp's own timer only closes connections that have completed a request before.
            self.start_head_timer(self.keepalive_timeout)

    def configure(self, head_timeout_s: float, idle_timeout_s: float) -> None:
        """Apply changed timeouts.

        A longer idle timeout is applied to open connections too. Failure: the operator raises it,
        callers reuse connections that were idle for longer than the old one, and send a booking on
        a connection that is being closed. A shorter one only affects new connections, since callers
        of this one rely on the longer one.
        """
        self.head_timeout_s = head_timeout_s
        # aiohttp reads its own keep-alive timeout only once, when the connection is opened.
        self.added_idle_s = max(0.0, idle_timeout_s - self.keepalive_timeout)

    def _process_keepalive(self) -> None:
        due = self._next_keepalive_close_time + self.added_idle_s
        if self._loop.time() < due:
            self._keepalive_handle = self._loop.call_at(due, self._process_keepalive)
            return
        super()._process_keepalive()

    def refuse_connection(self) -> None:
        """Refuse a connection above the connection limit.

        Failure: callers open connections until the process has no file descriptors left. The system
        then accepts their connections, but the process can't, and this node can't connect to its
        peers, the store or its backend server any more. The limit reserves descriptors for those.
        """
        self.log_refused(ErrorCode.OVERLOADED, "too many open connections of callers", "not-run")
        self.send_refusal()

    def send_refusal(self) -> None:
        """Send that nothing was run and when to come back, and close the connection."""
        assert self.transport is not None
        self.mark_ended()
        self.transport.write(self.protocol.connection_limit_response)
        self.force_close()

    def shed(self, reason: str) -> None:
        """Close the connection, since others need what it holds.

        A caller whose request has not begun, and who reads, is told so.
        """
        self.metrics.count("ingress.shed")
        has_begun = not self.is_between_requests
        self.log_refused(ErrorCode.MEMORY_LIMIT, reason, "unknown" if has_begun else "not-run")
        if has_begun or self.unread_since is not None or self.transport is None:
            self.abort()
        else:
            self.send_refusal()

    def data_received(self, data: bytes) -> None:
        # A caller that sends a byte now and then would hold a connection and its file descriptor
        # forever, and enough of such callers would prevent all others from connecting. The timer
        # starts with the first byte of a request head and is not extended by later ones.
        idle = self._waiter is not None or self._request_count == 0
        waiting = idle and not self._messages
        super().data_received(data)
        if self._messages or not waiting:
            self.stop_head_timer()
        else:
            self.start_head_timer(self.head_timeout_s)

    def connection_lost(self, exc: BaseException | None) -> None:
        self.stop_head_timer()
        self.stop_stall_timer()
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        # A caller that sends requests and reads no responses is not idle, and the deadlines of its
        # completed requests no longer apply: like one with a slow head, it would hold a file
        # descriptor forever.
        super().pause_writing()
        loop = asyncio.get_running_loop()
        self.stall_timer = loop.call_later(self.stall_timeout_s, self.abort_stalled)

    def resume_writing(self) -> None:
        self.stop_stall_timer()
        super().resume_writing()

    def stop_stall_timer(self) -> None:
        if self.stall_timer is not None:
            self.stall_timer.cancel()
            self.stall_timer = None

    def abort_stalled(self) -> None:
        """Abort the connection: its caller has read nothing for too long."""
        self.stall_timer = None
        self.log_refused(ErrorCode.SLOW_CALLER, "the caller does not read its responses", "unknown")
        if self.transport is not None:
            self.transport.abort()

    def start_head_timer(self, seconds: float) -> None:
        """Close the connection after ``seconds`` unless a request head is complete by then.

        A running timer is only ever shortened.
        """
        loop = asyncio.get_running_loop()
        due = loop.time() + seconds
        if self.head_timer is not None:
            if self.head_timer.when() <= due:
                return
            self.head_timer.cancel()
        self.head_timer = loop.call_at(due, self.close_slow_head)

    def stop_head_timer(self) -> None:
        if self.head_timer is not None:
            self.head_timer.cancel()
            self.head_timer = None

    def close_slow_head(self) -> None:
        """Close the connection: its request head took too long."""
        self.head_timer = None
        self.log_refused(ErrorCode.SLOW_CALLER, "no complete request head in time", "not-run")
        self.force_close()

    def log_refused(self, code: ErrorCode, reason: str, outcome: str) -> None:
        caller = self.peername
        log.info(
            "ingress.refused",
            code=code,
            step=STEP,
            peer="",
            reason=reason,
            caller=caller[0] if isinstance(caller, tuple) else "",
            outcome=outcome,
        )
        self.metrics.count(f"ingress.refused.{code}")

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response to a request that aiohttp can't parse, or to an internal error."""
        error = convert_error(exc)
        caller = request.remote
        if isinstance(error, UnknownOutcomeError):
            log.error("ingress.failed", **error_fields(error, caller), exc_info=exc)
        else:
            log.info("ingress.refused", **error_fields(error, caller))
        self.metrics.count(f"ingress.refused.{error.code}")
        if request.writer.output_size > 0:
            raise ConnectionError("the response has begun; the connection is aborted")
        response = self.protocol.refusal(error, self.node)
        response.force_close()
        return response


def error_fields(error: MarjoramtideError, caller: str | None) -> dict[str, Any]:
    """Return the log fields of an error."""
    return {
        "code": error.code,
        "step": error.step,
        "peer": error.peer,
        "reason": error.message,
        "caller": caller,
        "outcome": "unknown" if isinstance(error, UnknownOutcomeError) else "not-run",
    }


def convert_error(exc: BaseException | None) -> MarjoramtideError:
    """Return our error for an exception raised by aiohttp."""
    if not isinstance(exc, HttpProcessingError):
        return UnknownOutcomeError(ErrorCode.INTERNAL, "the node failed", step="ingress.handle")
    too_many = isinstance(exc, BadHttpMessage) and exc.message == TOO_MANY_HEADERS
    if too_many or isinstance(exc, LineTooLong):
        return MarjoramtideError(ErrorCode.HEAD_TOO_LARGE, "the head is too large", step=STEP)
    # The first line names the problem; the rest quotes the caller's bytes.
    reason = exc.message.partition("\n")[0].rstrip(":")[:MAX_REASON_CHARACTERS]
    return MarjoramtideError(ErrorCode.BAD_REQUEST, reason, step=STEP)
