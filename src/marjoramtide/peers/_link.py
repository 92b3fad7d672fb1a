"""One connection to one peer."""

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
from marjoramtide.peers._limits import LINGER_S
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
from marjoramtide.peers._pending import Pending

log = structlog.get_logger()

KNOWN_CODES = frozenset(str(code) for code in ErrorCode)


class Link:
    """The client's end of one connection generation; its reader task owns the socket.

    Request numbers belong to the link and are never used twice, so an answer that arrives after its
    request was given up matches nothing and is dropped: a caller can't get another's answer.
    """

    def __init__(self, socket: ClientConnection, peer: str, lane: str) -> None:
        self.socket = socket
        self.peer = peer
        self.lane = lane
        self.numbers = itertools.count(1)
        self.pending: dict[int, Pending] = {}
        self.questions: dict[int, asyncio.Future[dict[str, Any]]] = {}
        self.closed = False
        self.cancels: set[asyncio.Task[None]] = set()
        self.linger: asyncio.TimerHandle | None = None
        self.ending: asyncio.Task[None] | None = None
        self.reader = asyncio.create_task(self.read(), name=f"peers.link {peer} {lane}")

    async def request(self, request: Request, body: RequestBody, remaining_ms: float) -> Response:
        """Send a request and wait for its answer."""
        number = next(self.numbers)
        if not request.idempotency_key:
            # With a key the serving node must know the whole body to tell a repetition from another
            # request under the same key.
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
            key=request.idempotency_key,
            trace=request.trace,
            attempt=request.attempt,
            body=body.inline or b"",
            more=body.inline is None,
            length=-1 if body.length is None else body.length,
            request_id=request.request_id,
            rank=request.rank,
            goal_ms=goal_ms(request, remaining_ms),
            statement=pack_statement(request.statement),
            workspace=request.workspace or None,
        )
        frame = encode(message)
        if self.closed:
            raise NotRunError(
                ErrorCode.PEER_LOST, "the connection was closed", step="peers.send", peer=self.peer
            )
        waiter = asyncio.get_running_loop().create_future()
        pending = self.pending[number] = Pending(waiter, body)
        try:
            await self.socket.send(frame)
            return await waiter
        except ConnectionClosed as error:
            raise self.lost() from error
        except asyncio.CancelledError:
            self.forget(number)
            self.cancel(number)
            raise
        finally:
            if pending.stream is None:
                self.forget(number)

    async def ask(self, subject: str, body: dict[str, Any]) -> dict[str, Any]:
        """Send a question and wait for its reply."""
        number = next(self.numbers)
        waiter = self.questions[number] = asyncio.get_running_loop().create_future()
        try:
            await self.socket.send(encode(QuestionMessage(number, subject, body)))
            return await waiter
        except ConnectionClosed as error:
            raise self.lost() from error
        finally:
            self.questions.pop(number, None)
            if self.lane == CONTROL:
                self.rest()

    def rest(self) -> None:
        """Close after ``LINGER_S`` without a question.

        Questions go to peers chosen at random, so that kept connections would grow to one for each
        other node, and their pings, from both ends, with them: 8% of a core among 790. They end
        before their first ping; a question that follows at once still finds the connection.
        """
        if self.linger is not None:
            self.linger.cancel()
        self.linger = asyncio.get_running_loop().call_later(LINGER_S, self.end_unless_asked)

    def end_unless_asked(self) -> None:
        if not (self.closed or self.questions):
            # At once: whoever asks from here on opens another connection.
            self.closed = True
            self.ending = asyncio.create_task(self.socket.close())

    def forget(self, number: int) -> None:
        """Drop a request, and stop sending its body."""
        pending = self.pending.pop(number, None)
        if pending is not None and pending.sender is not None:
            pending.sender.cancel()

    def cancel(self, number: int) -> None:
        """Tell the peer that nobody waits for this request, without waiting for it.

        Where the peer takes nothing off the connection, sending waits. Whoever gives a request up
        would then wait too: its caller would be told of the deadline, or given the answer of
        another node, only when the connection is given up.
        """
        if not self.closed:
            task = asyncio.create_task(self.send_cancel(number))
            self.cancels.add(task)
            task.add_done_callback(self.cancels.discard)

    async def send_cancel(self, number: int) -> None:
        with contextlib.suppress(ConnectionClosed):
            await self.socket.send(encode(CancelMessage(number)))

    def lost(self) -> UnknownOutcomeError:
        """Return the error for requests that were on this connection when it broke."""
        return UnknownOutcomeError(
            ErrorCode.PEER_LOST, "the connection broke", step="peers.read", peer=self.peer
        )

    async def read(self) -> None:
        """Hand each frame to whoever waits for it, until the connection ends."""
        try:
            async for frame in self.socket:
                self.take(decode(frame))  # type: ignore[arg-type]
        except MarjoramtideError as error:
            log.warning(
                "peers.bad_frame",
                code=error.code,
                step=error.step,
                peer=self.peer,
                reason=error.message,
            )
            # Left open, it would stay with its peer's session until one of both ends.
            self.socket.transport.abort()
        except ConnectionClosed:
            pass
        finally:
            self.closed = True
            for pending in list(self.pending.values()):
                pending.fail(self.lost())
            self.pending.clear()
            for question in self.questions.values():
                if not question.done():
                    question.set_exception(self.lost())

    def take(self, message: Any) -> None:
        """Act on one message of the peer."""
        if isinstance(message, ReplyMessage):
            self.take_reply(message)
            return
        pending = self.pending.get(message.id)
        if pending is None:
            return
        match message:
            case AnswerMessage():
                self.take_answer(pending, message)
            case AnswerChunk() if pending.stream is not None:
                pending.stream.feed(message.data, message.last)
                if message.last:
                    self.forget(message.id)
            case FailureMessage():
                pending.fail(failure_error(message, self.peer))
                self.forget(message.id)
            case ContinueMessage() if not pending.body.is_opened:
                pending.sender = asyncio.create_task(self.send_body(message.id, pending))
            case CreditMessage():
                pending.window.credit(message.size)
            case _:
                raise MarjoramtideError(
                    ErrorCode.BAD_FRAME,
                    f"{type(message).__name__} is out of place",
                    step="peers.read",
                    peer=self.peer,
                )

    def take_reply(self, message: ReplyMessage) -> None:
        waiter = self.questions.get(message.id)
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

    def take_answer(self, pending: Pending, message: AnswerMessage) -> None:
        if pending.answer.done():
            return
        number = message.id
        answer = Response(
            status=message.status,
            headers=unpack_headers(message.headers),
            body=message.body,
            length=None if message.length < 0 else message.length,
            report=unpack_report(message.report),
            served_ms=message.served_ms,
            work_ms=message.work_ms,
        )
        if message.more:
            pending.stream = ByteStream(lambda size: self.grant(number, size))
            answer.stream = aiter(pending.stream)
            answer.cancel = lambda: self.abandon(number)
        pending.answer.set_result(answer)

    async def grant(self, number: int, size: int) -> None:
        if not self.closed:
            with contextlib.suppress(ConnectionClosed):
                await self.socket.send(encode(CreditMessage(number, size)))

    async def abandon(self, number: int) -> None:
        if number in self.pending:
            self.forget(number)
            self.cancel(number)

    async def send_body(self, number: int, pending: Pending) -> None:
        """Send the body of an admitted request."""

        async def send(data: bytes, last: bool) -> None:
            await self.socket.send(encode(RequestChunk(number, data, last)))

        try:
            await pending.window.send_all(pending.body.open(), send)
        except ConnectionClosed:
            pass
        except Exception as error:
            # The caller's body broke off: the peer must not take what it has for the whole.
            pending.sender = None
            pending.fail(
                UnknownOutcomeError(
                    ErrorCode.TRUNCATED,
                    f"the request's body broke off: {error}",
                    step="peers.send_body",
                    peer=self.peer,
                )
            )
            self.forget(number)
            self.cancel(number)

    async def abort(self) -> None:
        """End the connection without a word to the peer and fail whatever waits on it."""
        self.closed = True
        self.socket.transport.abort()
        await asyncio.gather(self.reader, return_exceptions=True)

    async def close(self) -> None:
        """Close the connection and fail whatever waits on it."""
        self.closed = True
        if self.linger is not None:
            self.linger.cancel()
        self.reader.cancel()
        await asyncio.gather(self.reader, return_exceptions=True)
        await self.socket.close()


def goal_ms(request: Request, remaining_ms: float) -> float:
    """Return what remains until the goal, in milliseconds; below 0 where there is none."""
    if request.goal > request.deadline:
        return -1.0
    return max(0.0, remaining_ms - (request.deadline - request.goal) * 1000)


def failure_error(message: FailureMessage, peer: str) -> RequestFailedError:
    """Return the error that a peer's failure message stands for."""
    cls = NotRunError if message.not_run else UnknownOutcomeError
    code = ErrorCode(message.code) if message.code in KNOWN_CODES else ErrorCode.INTERNAL
    return cls(
        code,
        message.text,
        step="peers.remote",
        peer=peer,
        retry_after_ms=message.retry_after_ms if message.retry_after_ms >= 0 else None,
        report=unpack_report(message.report),
        reached_backend=message.reached,
    )
