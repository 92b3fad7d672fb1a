"""The server side of one connection."""

import asyncio
import contextlib
import math
import re
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import attrs
import structlog
from websockets.asyncio.server import ServerConnection
from websockets.exceptions import ConnectionClosed

from marjoramtide.clock import Clock, FreezeDetector
from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.exchange import (
    NotRunError,
    Request,
    RequestFailedError,
    RequestHandler,
    Response,
    UnknownOutcomeError,
    inline_body,
    is_origin_form,
    stream_body,
)
from marjoramtide.peers._byte_stream import ByteStream
from marjoramtide.peers._codec import (
    decode,
    encode,
    pack_report,
    unpack_headers,
    unpack_statement,
)
from marjoramtide.peers._limits import MAX_CONCURRENT_PER_SESSION
from marjoramtide.peers._messages import (
    CancelMessage,
    ContinueMessage,
    CreditMessage,
    FailureMessage,
    QuestionMessage,
    ReplyMessage,
    RequestChunk,
    RequestMessage,
    ResponseChunk,
    ResponseMessage,
)
from marjoramtide.peers._send_window import SendWindow

log = structlog.get_logger()

# The library's close codes for frames it can't read: protocol error, invalid UTF-8, too large.
BAD_FRAME_CLOSE_CODES = frozenset((1002, 1007, 1009))

METHOD = re.compile(r"[A-Z-]{1,20}")

QuestionHandler = Callable[[dict[str, Any]], Awaitable[dict[str, Any]]]


@attrs.define(slots=True, eq=False, repr=False)
class ServedRequest:
    """A request in progress; ``body_requested`` once the peer was asked for the body."""

    body: ByteStream
    headers: tuple[tuple[str, str], ...]
    body_requested: bool = False
    deadline: float = 0.0
    window: SendWindow = attrs.Factory(SendWindow)
    task: "asyncio.Task[None] | None" = None


class Session:
    """Serves the requests and questions of one connection; the task in ``run`` owns the socket."""

    def __init__(
        self,
        socket: ServerConnection,
        peer: str,
        handler: RequestHandler,
        questions: Mapping[str, QuestionHandler],
        clock: Clock,
        freeze_detector: FreezeDetector,
    ) -> None:
        self.socket = socket
        self.peer = peer
        self.handler = handler
        self.questions = questions
        self.clock = clock
        self.freeze_detector = freeze_detector
        self.requests: dict[int, ServedRequest] = {}
        self.idle = asyncio.Event()
        self.idle.set()
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Handle frames until the connection is closed."""
        try:
            async for frame in self.socket:
                self.handle_message(decode(frame))  # type: ignore[arg-type]
        except ConnectionClosed as error:
            if error.sent is not None and error.sent.code in BAD_FRAME_CLOSE_CODES:
                self.log_bad_frame(self.bad_frame_error(error.sent.reason or str(error)))
        except MarjoramtideError as error:
            self.log_bad_frame(error)
            await self.socket.close(1002, "bad frame")
        finally:
            for task in list(self.tasks):
                task.cancel()

    def log_bad_frame(self, error: MarjoramtideError) -> None:
        log.warning(
            "peers.bad_frame",
            code=error.code,
            step=error.step,
            peer=self.peer,
            reason=error.message,
        )

    def handle_message(self, message: Any) -> None:
        match message:
            case RequestMessage():
                self.start_request(message)
            case QuestionMessage() if len(self.tasks) < MAX_CONCURRENT_PER_SESSION:
                self.start_task(self.reply(message))
            case QuestionMessage():
                raise self.bad_frame_error("too many open questions")
            case _:
                served = self.requests.get(message.id)
                if served is not None:
                    self.handle_request_message(served, message)

    def handle_request_message(self, served: ServedRequest, message: Any) -> None:
        match message:
            case RequestChunk() if served.body_requested:
                served.body.feed(message.data, message.is_last)
            case CreditMessage():
                served.window.add_credit(message.size)
            case CancelMessage():
                if served.task is not None:
                    served.task.cancel()
            case _:
                raise self.bad_frame_error(f"unexpected {type(message).__name__}")

    def bad_frame_error(self, reason: str) -> MarjoramtideError:
        return MarjoramtideError(ErrorCode.BAD_FRAME, reason, step="peers.session", peer=self.peer)

    def start_request(self, message: RequestMessage) -> None:
        number = message.id
        if number in self.requests or len(self.requests) >= MAX_CONCURRENT_PER_SESSION:
            raise self.bad_frame_error("duplicate request number, or too many open requests")
        if not is_origin_form(message.target):
            # It is appended to the backend server's address: "@other:80/" would change the host.
            raise self.bad_frame_error("the request target is not a path")
        if not METHOD.fullmatch(message.method):
            raise self.bad_frame_error("malformed method")
        if not 0 <= message.remaining_ms < math.inf:
            raise self.bad_frame_error(f"invalid time to the deadline: {message.remaining_ms} ms")
        headers = unpack_headers(message.headers)
        body = ByteStream(lambda size: self.send_credit(number, size))
        self.idle.clear()
        served = self.requests[number] = ServedRequest(body, headers)
        served.task = self.start_task(self.serve_request(message, served))
        # A callback, because a task that is cancelled before its first step runs none of its own
        # cleanup. That happens if this process was frozen, and a request and its cancel are read
        # together. The request would count as in progress until the connection is closed, and a
        # planned stop would wait for it until its grace period is over.
        served.task.add_done_callback(lambda _: self.request_ended(number, served))

    def request_ended(self, number: int, served: ServedRequest) -> None:
        """Remove a request whose task has ended in any way."""
        # A booking continues without its caller, but the rest of its body will not arrive. Waiting
        # for it would hold a slot of the backend server until the deadline.
        served.body.fail(
            UnknownOutcomeError(
                ErrorCode.TRUNCATED,
                "the request body ended early",
                step="peers.serve",
                peer=self.peer,
            )
        )
        self.requests.pop(number, None)
        if not self.requests:
            self.idle.set()

    def start_task(self, work: Any) -> "asyncio.Task[None]":
        task: asyncio.Task[None] = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def serve_request(self, message: RequestMessage, served: ServedRequest) -> None:
        """Serve one request and send its response or failure."""
        try:
            response = await self.call_handler(message, served)
            await self.send_response(message.id, response, served)
        except NotRunError as error:
            await self.send_failure(message.id, error, not_run=True)
        except UnknownOutcomeError as error:
            await self.send_failure(message.id, error, not_run=False)
        except ConnectionClosed:
            pass
        except Exception as error:
            log.exception("peers.serve_failed", code=ErrorCode.INTERNAL, peer=self.peer)
            failure = UnknownOutcomeError(ErrorCode.INTERNAL, str(error), step="peers.serve")
            await self.send_failure(message.id, failure, not_run=False)

    async def call_handler(self, message: RequestMessage, served: ServedRequest) -> Response:
        now = self.clock.monotonic()
        if self.freeze_detector.was_frozen(now):
            # Frames that waited in the socket while this process was frozen have deadlines that
            # have passed in real time. Running them would waste work, or make a booking that was
            # reported to its caller as lost. They have not started, so "not run" is true.
            raise NotRunError(
                ErrorCode.DEADLINE,
                "the node was frozen before it read the request",
                step="peers.serve",
            )
        served.deadline = now + message.remaining_ms / 1000
        request = Request(
            service=message.service,
            method=message.method,
            target=message.target,
            headers=served.headers,
            urgent=message.urgent,
            idempotent=message.idempotent,
            deadline=served.deadline,
            depth=message.depth,
            idempotency_key=message.idempotency_key,
            trace=message.trace,
            attempt=message.attempt,
            request_id=message.request_id,
            rank=message.rank,
            goal=math.inf if message.goal_ms < 0 else now + message.goal_ms / 1000,
            relayed=True,
            statement=unpack_statement(message.statement),
            workspace=message.workspace or "",
        )
        if not message.has_body_chunks:
            return await self.handler.handle(request, inline_body(message.body))
        length = None if message.length < 0 else message.length
        chunks = self.request_chunks(message.id, served)
        return await self.handler.handle(request, stream_body(chunks, length))

    async def request_chunks(self, number: int, served: ServedRequest) -> Any:
        """Yield the body; it is requested from the peer once the backend server is ready for it."""
        served.body_requested = True
        await self.send(ContinueMessage(number))
        async for data in served.body:
            yield data

    async def send_response(self, number: int, response: Response, served: ServedRequest) -> None:
        message = ResponseMessage(
            id=number,
            status=response.status,
            headers=list(response.headers),
            body=response.body,
            has_body_chunks=response.stream is not None,
            length=-1 if response.length is None else response.length,
            report=pack_report(response.report),
            served_ms=response.served_ms or 0.0,
            work_ms=response.work_ms,
        )

        async def send(data: bytes, is_last: bool) -> None:
            await self.send(ResponseChunk(number, data, is_last))

        try:
            await self.send(message)
            if response.stream is not None:
                # A caller that stops reading sends no credit. Without a timeout the response would
                # occupy a slot of the backend server forever.
                remaining = served.deadline - self.clock.monotonic()
                async with asyncio.timeout(max(0.0, remaining)):
                    await served.window.send_all(response.stream, send)
                response.cancel = None
        except TimeoutError as error:
            raise UnknownOutcomeError(
                ErrorCode.DEADLINE,
                "the deadline passed before the whole response was sent",
                step="peers.answer",
            ) from error
        finally:
            await response.close()

    async def send_failure(self, number: int, error: RequestFailedError, *, not_run: bool) -> None:
        retry_after_ms = -1 if error.retry_after_ms is None else error.retry_after_ms
        report = pack_report(error.report)
        message = FailureMessage(
            number,
            not_run,
            str(error.code),
            error.message,
            retry_after_ms,
            report,
            error.reached_backend,
        )
        with contextlib.suppress(ConnectionClosed):
            await self.send(message)

    async def reply(self, message: QuestionMessage) -> None:
        """Answer one question, with an error if its handler raises."""
        handler = self.questions.get(message.subject)
        try:
            if handler is None:
                raise MarjoramtideError(
                    ErrorCode.NOT_FOUND,
                    f"no handler for subject {message.subject!r}",
                    step="peers.reply",
                )
            reply = ReplyMessage(message.id, await handler(message.body), "", "")
        except MarjoramtideError as error:
            reply = ReplyMessage(message.id, {}, str(error.code), error.message)
        except Exception as error:
            log.exception("peers.reply_failed", code=ErrorCode.INTERNAL, peer=self.peer)
            reply = ReplyMessage(message.id, {}, str(ErrorCode.INTERNAL), str(error))
        with contextlib.suppress(ConnectionClosed):
            await self.send(reply)

    async def send_credit(self, number: int, size: int) -> None:
        await self.send(CreditMessage(number, size))

    async def send(self, message: Any) -> None:
        await self.socket.send(encode(message))
