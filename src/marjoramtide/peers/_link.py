"""The client side of one connection to a peer."""

import asyncio
import contextlib
import itertools
from typing import Any

import structlog
from websockets.asyncio.client import ClientConnection
from websockets.exceptions import ConnectionClosed

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.exchange import (
    NotRunError,
    Request,
    RequestBody,
    RequestFailedError,
    Response,
    UnknownOutcomeError,
)
from marjoramtide.peers._byte_stream import ByteStream
from marjoramtide.peers._codec import (
    decode,
    encode,
    pack_statement,
    unpack_headers,
    unpack_report,
)
from marjoramtide.peers._lanes import CONTROL
from marjoramtide.peers._limits import QUESTION_IDLE_TIMEOUT_S
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
from marjoramtide.peers._pending_request import PendingRequest

log = structlog.get_logger()

KNOWN_CODES = frozenset(str(code) for code in ErrorCode)


class Link:
    """Multiplexes requests and questions over one connection; its reader task owns the socket.

    Request numbers are unique within a link and never reused. A response that arrives after its
    request was given up matches no request and is dropped, so no caller can get another's response.
    """

    def __init__(self, socket: ClientConnection, peer: str, lane: str) -> None:
        self.socket = socket
        self.peer = peer
        self.lane = lane
        self.request_numbers = itertools.count(1)
        self.pending: dict[int, PendingRequest] = {}
        self.pending_questions: dict[int, asyncio.Future[dict[str, Any]]] = {}
        self.is_closed = False
        self.cancel_tasks: set[asyncio.Task[None]] = set()
        self.idle_timer: asyncio.TimerHandle | None = None
        self.close_task: asyncio.Task[None] | None = None
        self.reader_task = asyncio.create_task(self.read(), name=f"peers.link {peer} {lane}")

    async def request(self, request: Request, body: RequestBody, remaining_ms: float) -> Response:
        """Send a request and wait for its response."""
        number = next(self.request_numbers)
        if not request.idempotency_key:
            # With an idempotency key the serving node needs the whole body to tell a repeated
            # request from a different one under the same key.
            body = body.for_peer()
        message = RequestMessage(
            id=number,
            service=request.service,
            method=request.method,
            target=request.target,
            headers=list(request.headers),
            urgent=request.urgent,
            idempotent=request.idempotent,
            remaining_ms=remaining_ms,
            depth=request.depth,
            idempotency_key=request.idempotency_key,
            trace=request.trace,
            attempt=request.attempt,
            body=body.inline or b"",
            has_body_chunks=body.inline is None,
            length=-1 if body.length is None else body.length,
            request_id=request.request_id,
            rank=request.rank,
            goal_ms=goal_ms(request, remaining_ms),
            statement=pack_statement(request.statement),
            workspace=request.workspace or None,
        )
        frame = encode(message)
        if self.is_closed:
            raise NotRunError(
                ErrorCode.PEER_LOST, "the connection was closed", step="peers.send", peer=self.peer
            )
        waiter = asyncio.get_running_loop().create_future()
        pending = self.pending[number] = PendingRequest(waiter, body)
        try:
            await self.socket.send(frame)
            return await waiter
        except ConnectionClosed as error:
            raise self.connection_lost_error() from error
        except asyncio.CancelledError:
            self.discard_request(number)
            self.start_cancel(number)
            raise
        finally:
            if pending.response_stream is None:
                self.discard_request(number)

    async def ask(self, subject: str, body: dict[str, Any]) -> dict[str, Any]:
        """Send a question and wait for its reply."""
        number = next(self.request_numbers)
        waiter = self.pending_questions[number] = asyncio.get_running_loop().create_future()
        try:
            await self.socket.send(encode(QuestionMessage(number, subject, body)))
            return await waiter
        except ConnectionClosed as error:
            raise self.connection_lost_error() from error
        finally:
            self.pending_questions.pop(number, None)
            if self.lane == CONTROL:
                self.restart_idle_timer()

    def restart_idle_timer(self) -> None:
        """Close the link after ``QUESTION_IDLE_TIMEOUT_S`` without a question.

        Questions go to peers chosen at random. Persistent connections would accumulate to one per
        other node, and their pings, from both ends, would take 8% of a core among 790 nodes. Links
        are closed before their first ping; a question soon after another still reuses the
        connection.
        """
        if self.idle_timer is not None:
            self.idle_timer.cancel()
        self.idle_timer = asyncio.get_running_loop().call_later(
            QUESTION_IDLE_TIMEOUT_S, self.close_if_idle
        )

    def close_if_idle(self) -> None:
        if not (self.is_closed or self.pending_questions):
            # Marked as closed at once, so that the next question opens another connection.
            self.is_closed = True
            self.close_task = asyncio.create_task(self.socket.close())

    def discard_request(self, number: int) -> None:
        """Remove a request, and stop sending its body."""
        pending = self.pending.pop(number, None)
        if pending is not None and pending.body_sender is not None:
            pending.body_sender.cancel()

    def start_cancel(self, number: int) -> None:
        """Start to send a cancel for this request, without waiting until it is sent.

        Sending blocks if the peer does not read from the connection. If cancelling waited for it,
        the caller would get its deadline error, or the response of another node, only when the
        connection times out.
        """
        if not self.is_closed:
            task = asyncio.create_task(self.send_cancel(number))
            self.cancel_tasks.add(task)
            task.add_done_callback(self.cancel_tasks.discard)

    async def send_cancel(self, number: int) -> None:
        with contextlib.suppress(ConnectionClosed):
            await self.socket.send(encode(CancelMessage(number)))

    def connection_lost_error(self) -> UnknownOutcomeError:
        """Return the error for requests whose connection broke."""
        return UnknownOutcomeError(
            ErrorCode.PEER_LOST, "the connection broke", step="peers.read", peer=self.peer
        )

    async def read(self) -> None:
        """Dispatch received messages until the connection is closed."""
        try:
            async for frame in self.socket:
                self.handle_message(decode(frame))  # type: ignore[arg-type]
        except MarjoramtideError as error:
            log.warning(
                "peers.bad_frame",
                code=error.code,
                step=error.step,
                peer=self.peer,
                reason=error.message,
            )
            # Otherwise the connection and the peer's session would stay until one of both nodes
            # stops.
            self.socket.transport.abort()
        except ConnectionClosed:
            pass
        finally:
            self.is_closed = True
            for pending in list(self.pending.values()):
                pending.fail(self.connection_lost_error())
            self.pending.clear()
            for question in self.pending_questions.values():
                if not question.done():
                    question.set_exception(self.connection_lost_error())

    def handle_message(self, message: Any) -> None:
        """Handle one message of the peer."""
        if isinstance(message, ReplyMessage):
            self.handle_reply(message)
            return
        pending = self.pending.get(message.id)
        if pending is None:
            return
        match message:
            case ResponseMessage():
                self.handle_response(pending, message)
            case ResponseChunk() if pending.response_stream is not None:
                pending.response_stream.feed(message.data, message.is_last)
                if message.is_last:
                    self.discard_request(message.id)
            case FailureMessage():
                pending.fail(error_from_failure(message, self.peer))
                self.discard_request(message.id)
            case ContinueMessage() if not pending.body.is_opened:
                pending.body_sender = asyncio.create_task(self.send_body(message.id, pending))
            case CreditMessage():
                pending.window.add_credit(message.size)
            case _:
                raise MarjoramtideError(
                    ErrorCode.BAD_FRAME,
                    f"unexpected {type(message).__name__}",
                    step="peers.read",
                    peer=self.peer,
                )

    def handle_reply(self, message: ReplyMessage) -> None:
        waiter = self.pending_questions.get(message.id)
        if waiter is None or waiter.done():
            return
        if message.code:
            waiter.set_exception(
                MarjoramtideError(
                    ErrorCode.PEER_REFUSED, message.text, step="peers.ask", peer=self.peer
                )
            )
        else:
            waiter.set_result(message.body)

    def handle_response(self, pending: PendingRequest, message: ResponseMessage) -> None:
        if pending.response.done():
            return
        number = message.id
        response = Response(
            status=message.status,
            headers=unpack_headers(message.headers),
            body=message.body,
            length=None if message.length < 0 else message.length,
            report=unpack_report(message.report),
            served_ms=message.served_ms,
            work_ms=message.work_ms,
        )
        if message.has_body_chunks:
            pending.response_stream = ByteStream(lambda size: self.send_credit(number, size))
            response.stream = aiter(pending.response_stream)
            response.cancel = lambda: self.cancel_response(number)
        pending.response.set_result(response)

    async def send_credit(self, number: int, size: int) -> None:
        if not self.is_closed:
            with contextlib.suppress(ConnectionClosed):
                await self.socket.send(encode(CreditMessage(number, size)))

    async def cancel_response(self, number: int) -> None:
        if number in self.pending:
            self.discard_request(number)
            self.start_cancel(number)

    async def send_body(self, number: int, pending: PendingRequest) -> None:
        """Send the body of an admitted request in chunks."""

        async def send(data: bytes, is_last: bool) -> None:
            await self.socket.send(encode(RequestChunk(number, data, is_last)))

        try:
            await pending.window.send_all(pending.body.open(), send)
        except ConnectionClosed:
            pass
        except Exception as error:
            # The caller's body ended early: the peer must not take the received part for the whole.
            pending.body_sender = None
            pending.fail(
                UnknownOutcomeError(
                    ErrorCode.TRUNCATED,
                    f"the request body ended early: {error}",
                    step="peers.send_body",
                    peer=self.peer,
                )
            )
            self.discard_request(number)
            self.start_cancel(number)

    async def abort(self) -> None:
        """Abort the connection without a closing handshake, and fail what waits on it."""
        self.is_closed = True
        self.socket.transport.abort()
        await asyncio.gather(self.reader_task, return_exceptions=True)

    async def close(self) -> None:
        """Close the connection, and fail what waits on it."""
        self.is_closed = True
        if self.idle_timer is not None:
            self.idle_timer.cancel()
        self.reader_task.cancel()
        await asyncio.gather(self.reader_task, return_exceptions=True)
        await self.socket.close()


def goal_ms(request: Request, remaining_ms: float) -> float:
    """Return the time left until the request's goal in ms, below 0 if it has none."""
    if request.goal > request.deadline:
        return -1.0
    return max(0.0, remaining_ms - (request.deadline - request.goal) * 1000)


def error_from_failure(message: FailureMessage, peer: str) -> RequestFailedError:
    """Return the exception for a peer's failure message."""
    cls = NotRunError if message.not_run else UnknownOutcomeError
    code = ErrorCode(message.code) if message.code in KNOWN_CODES else ErrorCode.INTERNAL
    return cls(
        code,
        message.text,
        step="peers.remote",
        peer=peer,
        retry_after_ms=message.retry_after_ms if message.retry_after_ms >= 0 else None,
        report=unpack_report(message.report),
        reached_backend=message.reached_backend,
    )
