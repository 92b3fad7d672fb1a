"""The server's end of one connection."""

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
from marjoramtide.peers._limits import MAX_OPEN_PER_SESSION
from marjoramtide.peers._messages import (
    AnswerChunk,
    AnswerMessage,
    CancelMessage,
    ContinueMessage,
    CreditMessage,
    FailureMessage,
    QuestionMessage,
    ReplyMessage,
    RequestChunk,
    RequestMessage,
)
from marjoramtide.peers._send_window import SendWindow

log = structlog.get_logger()

# What the library closes with when it can't read a frame: protocol error, no UTF-8, too large.
BAD_FRAME_CLOSES = frozenset((1002, 1007, 1009))

METHOD = re.compile(r"[A-Z-]{1,20}")

QuestionHandler = Callable[[dict[str, Any]], Awaitable[dict[str, Any]]]


@attrs.define(slots=True, eq=False, repr=False)
class Served:
    """A request of the peer that is being served; ``invited`` once its body was asked for."""

    body: ByteStream
    headers: tuple[tuple[str, str], ...]
    invited: bool = False
    deadline: float = 0.0
    window: SendWindow = attrs.Factory(SendWindow)
    task: "asyncio.Task[None] | None" = None


class Session:
    """Serves what one peer sends on one connection; the connection's task owns the socket."""

    def __init__(
        self,
        socket: ServerConnection,
        peer: str,
        handler: RequestHandler,
        questions: Mapping[str, QuestionHandler],
        clock: Clock,
        freeze: FreezeDetector,
    ) -> None:
        self.socket = socket
        self.peer = peer
        self.handler = handler
        self.questions = questions
        self.clock = clock
        self.freeze = freeze
        self.served: dict[int, Served] = {}
        self.idle = asyncio.Event()
        self.idle.set()
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Read frames until the connection ends."""
        try:
            async for frame in self.socket:
                self.take(decode(frame))  # type: ignore[arg-type]
        except ConnectionClosed as error:
            if error.sent is not None and error.sent.code in BAD_FRAME_CLOSES:
                self.log_bad_frame(self.bad_frame(error.sent.reason or str(error)))
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

    def take(self, message: Any) -> None:
        match message:
            case RequestMessage():
                self.take_request(message)
            case QuestionMessage() if len(self.tasks) < MAX_OPEN_PER_SESSION:
                self.start(self.reply(message))
            case QuestionMessage():
                raise self.bad_frame("too many questions are open")
            case _:
                served = self.served.get(message.id)
                if served is not None:
                    self.take_for(served, message)

    def take_for(self, served: Served, message: Any) -> None:
        match message:
            case RequestChunk() if served.invited:
                served.body.feed(message.data, message.last)
            case CreditMessage():
                served.window.credit(message.size)
            case CancelMessage():
                if served.task is not None:
                    served.task.cancel()
            case _:
                raise self.bad_frame(f"{type(message).__name__} is out of place")

    def bad_frame(self, reason: str) -> MarjoramtideError:
        return MarjoramtideError(ErrorCode.BAD_FRAME, reason, step="peers.session", peer=self.peer)

    def take_request(self, message: RequestMessage) -> None:
        number = message.id
        if number in self.served or len(self.served) >= MAX_OPEN_PER_SESSION:
            raise self.bad_frame("a request number is used twice, or too many are open")
        if not is_origin_form(message.target):
            # It is put behind the backend server's address: "@other:80/" would lead elsewhere.
            raise self.bad_frame("a request target that is no path")
        if not METHOD.fullmatch(message.method):
            raise self.bad_frame("a method that is none")
        if not 0 <= message.remaining_ms < math.inf:
            raise self.bad_frame(f"a deadline in {message.remaining_ms} ms")
        headers = unpack_headers(message.headers)
        body = ByteStream(lambda size: self.grant(number, size))
        self.idle.clear()
        served = self.served[number] = Served(body, headers)
        served.task = self.start(self.serve(message, served))
        # Not in the task itself: one that is cancelled before its first turn, as where a request
        # and its cancel were read in one go after a stop of this process, runs none of its own
        # cleanup. The request would count as in progress until the connection ends, and a planned
        # stop would wait for it until it cuts off others. A task's end always calls this.
        served.task.add_done_callback(lambda _: self.ended(number, served))

    def ended(self, number: int, served: Served) -> None:
        """Forget a request whose task has ended, whichever way."""
        # A booking goes on without its caller, but the rest of its body will not come: left
        # waiting for it, it would hold a slot of the backend server until its deadline.
        served.body.fail(
            UnknownOutcomeError(
                ErrorCode.TRUNCATED, "the body broke off", step="peers.serve", peer=self.peer
            )
        )
        self.served.pop(number, None)
        if not self.served:
            self.idle.set()

    def start(self, work: Any) -> "asyncio.Task[None]":
        task: asyncio.Task[None] = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def serve(self, message: RequestMessage, served: Served) -> None:
        """Serve one request and send its answer, or why there is none."""
        try:
            answer = await self.handle(message, served)
            await self.send_answer(message.id, answer, served)
        except NotRunError as error:
            await self.fail(message.id, error, not_run=True)
        except UnknownOutcomeError as error:
            await self.fail(message.id, error, not_run=False)
        except ConnectionClosed:
            pass
        except Exception as error:
            log.exception("peers.serve_failed", code=ErrorCode.INTERNAL, peer=self.peer)
            failure = UnknownOutcomeError(ErrorCode.INTERNAL, str(error), step="peers.serve")
            await self.fail(message.id, failure, not_run=False)

    async def handle(self, message: RequestMessage, served: Served) -> Response:
        now = self.clock.monotonic()
        if self.freeze.was_frozen(now):
            # Frames that waited in the socket while this process was stopped carry deadlines that
            # have passed in the world outside. Running them now would do work, or book a booking,
            # that the caller was told is lost. They have not begun, so "not run" is true.
            raise NotRunError(
                ErrorCode.DEADLINE, "the node was stopped meanwhile", step="peers.serve"
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
            idempotency_key=message.key,
            trace=message.trace,
            attempt=message.attempt,
            request_id=message.request_id,
            rank=message.rank,
            goal=math.inf if message.goal_ms < 0 else now + message.goal_ms / 1000,
            relayed=True,
            statement=unpack_statement(message.statement),
            workspace=message.workspace or "",
        )
        if not message.more:
            return await self.handler.handle(request, inline_body(message.body))
        length = None if message.length < 0 else message.length
        chunks = self.body_chunks(message.id, served)
        return await self.handler.handle(request, stream_body(chunks, length))

    async def body_chunks(self, number: int, served: Served) -> Any:
        """Ask for the body when the backend server is ready to take it."""
        served.invited = True
        await self.send(ContinueMessage(number))
        async for data in served.body:
            yield data

    async def send_answer(self, number: int, answer: Response, served: Served) -> None:
        message = AnswerMessage(
            id=number,
            status=answer.status,
            headers=list(answer.headers),
            body=answer.body,
            more=answer.stream is not None,
            length=-1 if answer.length is None else answer.length,
            report=pack_report(answer.report),
            served_ms=answer.served_ms or 0.0,
            work_ms=answer.work_ms,
        )

        async def send(data: bytes, last: bool) -> None:
            await self.send(AnswerChunk(number, data, last))

        try:
            await self.send(message)
            if answer.stream is not None:
                # A caller that stops reading gives no credit: without an end of its own the wait
                # for it would hold a slot of the backend server for ever.
                remaining = served.deadline - self.clock.monotonic()
                async with asyncio.timeout(max(0.0, remaining)):
                    await served.window.send_all(answer.stream, send)
                answer.cancel = None
        except TimeoutError as error:
            raise UnknownOutcomeError(
                ErrorCode.DEADLINE, "the deadline passed amid the answer", step="peers.answer"
            ) from error
        finally:
            await answer.close()

    async def fail(self, number: int, error: RequestFailedError, *, not_run: bool) -> None:
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
        """Answer one question."""
        handler = self.questions.get(message.subject)
        try:
            if handler is None:
                raise MarjoramtideError(
                    ErrorCode.NOT_FOUND, f"no subject {message.subject!r}", step="peers.reply"
                )
            reply = ReplyMessage(message.id, await handler(message.body), "", "")
        except MarjoramtideError as error:
            reply = ReplyMessage(message.id, {}, str(error.code), error.message)
        except Exception as error:
            log.exception("peers.reply_failed", code=ErrorCode.INTERNAL, peer=self.peer)
            reply = ReplyMessage(message.id, {}, str(ErrorCode.INTERNAL), str(error))
        with contextlib.suppress(ConnectionClosed):
            await self.send(reply)

    async def grant(self, number: int, size: int) -> None:
        await self.send(CreditMessage(number, size))

    async def send(self, message: Any) -> None:
        await self.socket.send(encode(message))
