"""Dispatch of requests with an idempotency key."""

import asyncio
import hashlib
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import structlog

from marjoramtide.claims import (
    ClaimHandle,
    ClaimOutcome,
    ClaimRecord,
    ClaimResult,
    Claims,
    ClaimState,
    ConflictReason,
)
from marjoramtide.clock import Clock
from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.exchange import NotRunError, Request, Response, UnknownOutcomeError
from marjoramtide.serving._execution import Execution
from marjoramtide.settings import SettingsView

log = structlog.get_logger()

STEP = "serving.claim"
# Answers given from the record of an earlier try carry this header.
REPLAYED = ("Idempotency-Replayed", "true")


class IdempotencyKeyDispatcher:
    """Sends a request only under a claim, and records how it ended.

    A booking that is sent again with its key, through whatever node, then runs at most once within
    the retention: the claim is made before the dispatch, by a conditional write.
    """

    def __init__(self, claims: Claims, view: SettingsView, clock: Clock) -> None:
        self.claims = claims
        self.view = view
        self.clock = clock
        self.background: set[asyncio.Task[Any]] = set()

    async def dispatch(
        self, execution: Execution, forward: Callable[[Execution], Awaitable[Response]]
    ) -> Response:
        """Claim, dispatch and record; raises as ``RequestHandler.handle``."""
        request = execution.request
        try:
            settings = self.view.route(request.service, request.target)
            result = await self.claims.acquire(
                request.service,
                request.idempotency_key,
                digest(execution),
                settings,
                request.deadline,
                request.workspace,
            )
        except MarjoramtideError as error:
            raise NotRunError(error.code, error.message, step=STEP) from error
        if not result.can_run:
            return self.replay_or_reject(result)
        if result.handle is None:
            log.warning("serving.unclaimed", reason=result.detail, service=request.service)
            return await forward(execution)
        return await self.dispatch_claimed(execution, result.handle, forward)

    async def dispatch_claimed(
        self,
        execution: Execution,
        handle: ClaimHandle,
        forward: Callable[[Execution], Awaitable[Response]],
    ) -> Response:
        if not handle.can_dispatch(self.clock.monotonic()):
            # A node that was stopped between claim and dispatch must not act on a claim that may
            # have ended meanwhile; it has sent nothing, so the key is given back.
            await self.release(execution, handle)
            raise NotRunError(ErrorCode.DEADLINE, "the claim is too old to act on", step=STEP)
        try:
            answer = await forward(execution)
        except NotRunError:
            # Awaited: the next node's claim would otherwise meet this one and call it a duplicate.
            await self.release(execution, handle)
            raise
        except BaseException:
            if execution.may_have_run:
                self.spawn(self.claims.record(handle, ClaimState.UNKNOWN))
            else:
                self.spawn(self.claims.release(handle))
            raise
        body = answer.body if answer.stream is None else None
        self.spawn(
            self.claims.record(handle, ClaimState.COMPLETED, answer.status, answer.headers, body)
        )
        return answer

    async def release(self, execution: Execution, handle: ClaimHandle) -> None:
        """Give the key back within the time left; what is left of it goes on behind."""
        remaining = execution.deadline - self.clock.monotonic()
        await self.claims.release(handle, timeout=max(0.0, remaining))

    def replay_or_reject(self, result: ClaimResult) -> Response:
        """Return the recorded answer, or raise what keeps the request from running."""
        if result.outcome is ClaimOutcome.RECORDED and result.record is not None:
            return recorded_answer(result.record)
        if result.outcome is ClaimOutcome.UNAVAILABLE:
            raise NotRunError(
                ErrorCode.STORE_UNAVAILABLE,
                "the key could not be claimed",
                step=STEP,
                retry_after_ms=result.retry_after_ms,
            )
        if result.reason is ConflictReason.OTHER_REQUEST:
            raise NotRunError(
                ErrorCode.KEY_REUSED,
                "the key was used with another request",
                step=STEP,
                retry_after_ms=0,
            )
        raise duplicate(result.retry_after_ms)

    def spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run beside the request: its answer need not wait for the record."""
        task = asyncio.create_task(work)
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    async def drain(self) -> None:
        """Wait for the records on their way, for a planned stop."""
        await asyncio.gather(*self.background, return_exceptions=True)
        await self.claims.flush(2.0)


def recorded_answer(record: ClaimRecord) -> Response:
    """Return the answer of the request that ran with this key."""
    if record.state is not ClaimState.COMPLETED:
        raise duplicate(None)
    if record.body is None:
        text = f"completed earlier with status {record.status}; its answer was not kept\n".encode()
        return Response(409, (REPLAYED, ("Content-Type", "text/plain")), text, length=len(text))
    headers = (*record.headers, REPLAYED)
    return Response(record.status, headers, record.body, length=len(record.body))


def duplicate(retry_after_ms: int | None) -> UnknownOutcomeError:
    """Return the error for a key under which another try runs, or ended unknown.

    It is "unknown" to the caller, whose booking may have run by that other try.
    """
    return UnknownOutcomeError(
        ErrorCode.DUPLICATE_KEY,
        "a request with this key is in progress or ended unknown",
        step=STEP,
        retry_after_ms=retry_after_ms,
    )


def digest(execution: Execution) -> str:
    """Return what tells apart requests that use one key; a streamed body counts by its length."""
    request: Request = execution.request
    body = execution.body.inline
    content = str(execution.body.length).encode() if body is None else body
    parts = (request.method.encode(), request.target.encode(), content)
    return hashlib.blake2b(b"\0".join(parts), digest_size=16).hexdigest()
