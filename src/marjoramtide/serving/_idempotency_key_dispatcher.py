"""Dispatch of requests that have an idempotency key."""

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

CLAIM_STEP = "serving.claim"
# Marks responses that are replayed from the record of an earlier attempt.
REPLAYED_HEADER = ("Idempotency-Replayed", "true")


class IdempotencyKeyDispatcher:
    """Claims the idempotency key before a request is sent, and records the outcome.

    The claim is a conditional write to the store. A booking that is repeated with the same key
    through any node therefore runs at most once within the retention time of claims.
    """

    def __init__(self, claims: Claims, view: SettingsView, clock: Clock) -> None:
        self.claims = claims
        self.view = view
        self.clock = clock
        self.background: set[asyncio.Task[Any]] = set()

    async def dispatch(
        self, execution: Execution, forward: Callable[[Execution], Awaitable[Response]]
    ) -> Response:
        """Claim the key, dispatch the request and record the outcome.

        Raises the same errors as ``RequestHandler.handle``.
        """
        request = execution.request
        try:
            settings = self.view.route(request.service, request.target)
            result = await self.claims.acquire(
                request.service,
                request.idempotency_key,
                request_digest(execution),
                settings,
                request.deadline,
                request.workspace,
            )
        except MarjoramtideError as error:
            raise NotRunError(error.code, error.message, step=CLAIM_STEP) from error
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
            # If this process was suspended between claim and dispatch, the claim may have expired.
            # Nothing was sent, so the key can be released.
            await self.release(execution, handle)
            raise NotRunError(
                ErrorCode.DEADLINE, "the claim of the idempotency key is too old", step=CLAIM_STEP
            )
        try:
            answer = await forward(execution)
        except NotRunError:
            # Wait for the release; otherwise the retry on another node would find this claim and
            # be rejected as a duplicate.
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
        """Release the key; after the deadline the release continues in the background."""
        remaining_s = execution.deadline - self.clock.monotonic()
        await self.claims.release(handle, timeout=max(0.0, remaining_s))

    def replay_or_reject(self, result: ClaimResult) -> Response:
        """Return the recorded response, or raise the reason why the request must not run."""
        if result.outcome is ClaimOutcome.RECORDED and result.record is not None:
            return replayed_response(result.record)
        if result.outcome is ClaimOutcome.UNAVAILABLE:
            raise NotRunError(
                ErrorCode.STORE_UNAVAILABLE,
                "the idempotency key could not be claimed",
                step=CLAIM_STEP,
                retry_after_ms=result.retry_after_ms,
            )
        if result.reason is ConflictReason.OTHER_REQUEST:
            raise NotRunError(
                ErrorCode.KEY_REUSED,
                "the idempotency key was used with another request",
                step=CLAIM_STEP,
                retry_after_ms=0,
            )
        raise duplicate_error(result.retry_after_ms)

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Run in the background, so that the response doesn't wait for the store."""
        task = asyncio.create_task(coroutine)
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    async def drain(self) -> None:
        """Wait for pending writes to the store, during a planned stop."""
        await asyncio.gather(*self.background, return_exceptions=True)
        await self.claims.flush(2.0)


def replayed_response(record: ClaimRecord) -> Response:
    """Return the response of the request that ran with this key."""
    if record.state is not ClaimState.COMPLETED:
        raise duplicate_error(None)
    if record.body is None:
        text = f"completed earlier with status {record.status}; its answer was not kept\n".encode()
        return Response(
            409, (REPLAYED_HEADER, ("Content-Type", "text/plain")), text, length=len(text)
        )
    headers = (*record.headers, REPLAYED_HEADER)
    return Response(record.status, headers, record.body, length=len(record.body))


def duplicate_error(retry_after_ms: int | None) -> UnknownOutcomeError:
    """Return the error for a key whose other attempt is in progress or has an unknown outcome.

    The outcome is "unknown" for the caller, because the other attempt may have run the booking.
    """
    return UnknownOutcomeError(
        ErrorCode.DUPLICATE_KEY,
        "another request with this key is in progress or has an unknown outcome",
        step=CLAIM_STEP,
        retry_after_ms=retry_after_ms,
    )


def request_digest(execution: Execution) -> str:
    """Return a digest that distinguishes requests with the same key.

    Of a streamed body only the length is included.
    """
    request: Request = execution.request
    body = execution.body.inline
    content = str(execution.body.length).encode() if body is None else body
    parts = (request.method.encode(), request.target.encode(), content)
    return hashlib.blake2b(b"\0".join(parts), digest_size=16).hexdigest()
