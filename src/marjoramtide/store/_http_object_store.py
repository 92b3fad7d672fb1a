"""A client of an object store over HTTP."""

import random
from collections import deque
from collections.abc import AsyncIterator, Callable, Iterator, Mapping
from contextlib import AbstractAsyncContextManager, asynccontextmanager, contextmanager, suppress
from email.utils import parsedate_to_datetime
from http import HTTPStatus

import aiohttp
import attrs
import structlog

from marjoramtide.clock import Clock, SystemClock
from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.store._backoff import full_jitter
from marjoramtide.store._call import Call, CallOutcome, StoreResponse
from marjoramtide.store._call_budget import CallBudget
from marjoramtide.store._call_errors import CallNotSentError, ResponseLostError
from marjoramtide.store._circuit_breaker import CircuitBreaker
from marjoramtide.store._default_protocol import DefaultStoreProtocol
from marjoramtide.store._epoch_tracker import EpochTracker
from marjoramtide.store._http_session import open_session
from marjoramtide.store._listing import Listing
from marjoramtide.store._object_store import ObjectStore
from marjoramtide.store._store_limits import StoreLimits
from marjoramtide.store._store_protocol import StoreProtocol, WatchResponse
from marjoramtide.store._stored_object import StoredObject
from marjoramtide.store._versions import (
    epoch_of,
    event_with_epoch,
    make_version,
    revision_of,
    with_epoch,
)
from marjoramtide.store._watch_event import WatchEvent

log = structlog.get_logger()

MAX_ATTEMPTS = 4
MAX_VALUE_BYTES = 1024 * 1024
WATCH_GRACE_S = 2.0
# A shorter remainder of a watch is not worth a call, which counts against the rate limit.
MIN_POLL_S = 0.5
MIN_COUNTED_TIMEOUT_S = 0.25
MAX_TIMED_CALL_S = 5.0
RETRYABLE_CODES = (ErrorCode.STORE_UNAVAILABLE, ErrorCode.STORE_THROTTLED)


class HttpObjectStore(ObjectStore):
    """Calls the store with aiohttp.

    Within the timeout it retries reads, and writes that certainly had no effect. A write whose
    response was lost raises ``store-ambiguous`` and is never retried here: ``create_resolved`` and
    ``update_resolved`` determine its outcome.
    """

    def __init__(
        self,
        url: str,
        protocol: StoreProtocol,
        clock: Clock,
        rng: random.Random,
        limits: StoreLimits,
    ) -> None:
        self.url = url.rstrip("/")
        self.protocol = protocol
        self.clock = clock
        self.rng = rng
        self.write_budget = CallBudget(clock, limits.writes_per_s, limits.write_burst)
        self.read_budget = CallBudget(clock, limits.reads_per_s, limits.read_burst)
        self.circuit_breaker = CircuitBreaker(clock, rng)
        self.clock_offset_s: float | None = None
        self.session: aiohttp.ClientSession | None = None
        self.calls_made = 0
        self.unreadable = 0
        self.epoch_tracker = EpochTracker()

    @property
    def epoch(self) -> int:
        return self.epoch_tracker.epoch_number

    def on_epoch_change(self, listener: Callable[[int], None]) -> None:
        self.epoch_tracker.listeners.append(listener)

    def observe_epoch(self, epoch: int) -> None:
        self.epoch_tracker.observe(epoch, self.url)

    async def get(self, key: str, *, timeout: float = 2.0) -> StoredObject:
        call = self.protocol.get(key)
        response = await self.call(call, timeout)
        if response.outcome is CallOutcome.MISSING:
            raise self.error(ErrorCode.NOT_FOUND, key, call.step)
        with self.malformed_as(ErrorCode.STORE_UNAVAILABLE, call.step):
            return with_epoch(self.protocol.read_object(key, response), response.epoch)

    async def list(self, prefix: str, *, timeout: float = 2.0) -> Listing:
        return await self.list_pages(prefix, timeout, allow_stale=False)

    async def list_allow_stale(self, prefix: str, *, timeout: float = 2.0) -> Listing:
        return await self.list_pages(prefix, timeout, allow_stale=True)

    async def current_version(self, *, timeout: float = 2.0) -> int:
        call = attrs.evolve(self.protocol.current_version(), is_probe=True)
        response = await self.call_once(call, self.clock.monotonic() + timeout)
        with self.malformed_as(ErrorCode.STORE_UNAVAILABLE, call.step):
            page = self.protocol.read_page("", response)
        return make_version(response.epoch, page.version)

    async def list_pages(self, prefix: str, timeout: float, *, allow_stale: bool) -> Listing:
        objects: deque[StoredObject] = deque()
        epochs = set()
        after = ""
        while True:
            call = self.protocol.list_page(prefix, after, allow_stale=allow_stale)
            response = await self.call(call, timeout)
            with self.malformed_as(ErrorCode.STORE_UNAVAILABLE, call.step):
                page = self.protocol.read_page(prefix, response)
            self.count_unreadable(page.unreadable, call.step)
            objects += (with_epoch(each, response.epoch) for each in page.objects)
            epochs.add(response.epoch)
            if len(epochs) > 1:
                raise self.error(
                    ErrorCode.STORE_UNAVAILABLE,
                    "pages of a list are from different epochs",
                    call.step,
                )
            if not page.after:
                return Listing(objects, make_version(response.epoch, page.version))
            after = page.after

    async def create(self, key: str, value: bytes, *, timeout: float = 2.0) -> StoredObject:
        call = self.protocol.create(key, value)
        response = await self.write(call, key, value, timeout)
        return self.read_written(call, key, value, response)

    async def update(
        self, key: str, value: bytes, version: int, *, timeout: float = 2.0
    ) -> StoredObject:
        call = self.protocol.update(key, value, self.check_revision(key, version, "store.update"))
        response = await self.write(call, key, value, timeout)
        self.check_epoch(response, version, call)
        return self.read_written(call, key, value, response)

    async def delete(self, key: str, version: int, *, timeout: float = 2.0) -> None:
        call = self.protocol.delete(key, self.check_revision(key, version, "store.delete"))
        self.check_epoch(await self.write(call, key, b"", timeout), version, call)

    def check_revision(self, key: str, version: int, step: str) -> int:
        """Return the revision of a version; raises ``version-conflict`` if its epoch is over.

        A store that was restored from a copy continues from an earlier revision. A write with a
        version from before the restore could match an object that got the same revision since, and
        replace a value that its writer never read.
        """
        if epoch_of(version) < self.epoch:
            raise self.error(
                ErrorCode.VERSION_CONFLICT, f"{key}: version is from an earlier epoch", step
            )
        return revision_of(version)

    def check_epoch(self, response: StoreResponse, version: int, call: Call) -> None:
        """Raise ``store-ambiguous`` if the response is from another epoch than the condition.

        This node learned of the new epoch only from the response, so it is unknown what the write
        replaced. A retry raises ``version-conflict``, after which the writer reads the object.
        """
        if response.epoch != epoch_of(version):
            message = (
                f"written in epoch {response.epoch} with a version of epoch {epoch_of(version)}"
            )
            raise self.error(ErrorCode.STORE_AMBIGUOUS, message, call.step)

    async def watch(
        self, prefix: str, since: int, *, wait: float = 30.0
    ) -> AsyncIterator[WatchEvent]:
        if self.protocol.streams_watches:
            async for event in self.stream(prefix, since, wait):
                yield event
            return
        ends_at = self.clock.monotonic() + wait
        while (remaining_s := ends_at - self.clock.monotonic()) > MIN_POLL_S:
            watched = await self.poll(prefix, since, remaining_s)
            since = watched.version
            for event in watched.events:
                yield event

    async def stream(self, prefix: str, since: int, wait: float) -> AsyncIterator[WatchEvent]:
        """Watch with one call whose response streams a line for each change."""
        call = self.protocol.watch(prefix, revision_of(since), wait)
        async with self.open_watch(call, since, wait) as response:
            async for line in response.content:
                with self.malformed_as(ErrorCode.STORE_UNAVAILABLE, call.step):
                    event = self.protocol.read_event(prefix, line)
                yield event_with_epoch(event, epoch_of(since))

    async def poll(self, prefix: str, since: int, wait: float) -> WatchResponse:
        """Watch with one long poll, which ends on a change or after ``wait`` seconds."""
        epoch = epoch_of(since)
        call = self.protocol.watch(prefix, revision_of(since), wait)
        async with self.open_watch(call, since, wait) as response:
            body = await response.read()
        with self.malformed_as(ErrorCode.STORE_UNAVAILABLE, call.step):
            watched = self.protocol.read_events(prefix, body)
        self.count_unreadable(watched.unreadable, call.step)
        return attrs.evolve(
            watched,
            events=[event_with_epoch(event, epoch) for event in watched.events],
            version=make_version(epoch, watched.version),
        )

    @asynccontextmanager
    async def open_watch(
        self, call: Call, since: int, wait: float
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Send a call that waits for changes; raises ``not-found`` if the history is gone.

        After a restore from a copy the history counts as gone too: once the store's revision has
        passed that of the watch again, the store would accept the watch and never report the
        changes between the copy and that revision.
        """
        self.check_watch_epoch(call, since)
        await self.read_budget.take(self.clock.monotonic() + wait, call.step)
        self.circuit_breaker.check(call, self.url)
        timeout = aiohttp.ClientTimeout(total=wait + WATCH_GRACE_S, connect=WATCH_GRACE_S)
        has_responded = False
        try:
            async with self.send_request(call, timeout) as response:
                has_responded = True
                if self.check_status(call, response.status, response.headers) is CallOutcome.GAP:
                    raise self.error(
                        ErrorCode.NOT_FOUND,
                        "the store no longer has the history of this watch",
                        call.step,
                    )
                self.check_watch_epoch(call, since)
                yield response
        except (ResponseLostError, CallNotSentError, aiohttp.ClientError, TimeoutError) as error:
            self.circuit_breaker.on_failure(call)
            raise self.error(ErrorCode.STORE_UNAVAILABLE, describe(error), call.step) from error
        finally:
            if not has_responded:
                self.circuit_breaker.on_abandoned(call)

    def check_watch_epoch(self, call: Call, since: int) -> None:
        """Raise ``not-found`` if a watch resumes from a version of an earlier epoch."""
        if epoch_of(since) < self.epoch:
            message = "the store was restored from a copy"
            raise self.error(ErrorCode.NOT_FOUND, message, call.step)

    def time(self, wall: float) -> float | None:
        return None if self.clock_offset_s is None else wall + self.clock_offset_s

    def update_clock_offset(self, date: str, wall: float, took_s: float) -> None:
        """Compute the store's clock offset from a response's ``Date`` header.

        The call was sent at ``wall`` and took ``took_s``. If the process is suspended between
        reading its clock and the response, the store's clock seems ahead by that time, and claims
        that are still held seem to have ended. Responses that took long are therefore ignored.
        """
        if took_s <= MAX_TIMED_CALL_S:
            with suppress(ValueError):
                self.clock_offset_s = parsedate_to_datetime(date).timestamp() - wall

    def set_max_retry_pause(self, seconds: float) -> None:
        self.circuit_breaker.max_pause_s = seconds

    async def close(self) -> None:
        if self.session is not None:
            await self.session.close()
            self.session = None

    def read_written(
        self, call: Call, key: str, value: bytes, response: StoreResponse
    ) -> StoredObject:
        with self.malformed_as(ErrorCode.STORE_AMBIGUOUS, call.step):
            return with_epoch(self.protocol.read_written(key, value, response), response.epoch)

    async def write(self, call: Call, key: str, value: bytes, timeout: float) -> StoreResponse:
        if len(value) > MAX_VALUE_BYTES:
            message = f"{key}: value has {len(value)} bytes; at most {MAX_VALUE_BYTES} are allowed"
            raise self.error(ErrorCode.BAD_REQUEST, message, call.step)
        response = await self.call(call, timeout)
        if response.outcome is CallOutcome.CONFLICT:
            raise self.error(ErrorCode.VERSION_CONFLICT, key, call.step)
        if response.outcome is CallOutcome.MISSING:
            raise self.error(ErrorCode.NOT_FOUND, key, call.step)
        return response

    async def call(self, call: Call, timeout: float) -> StoreResponse:
        """Send the call, with retries where that is safe, for at most ``timeout`` seconds."""
        deadline = self.clock.monotonic() + timeout
        for attempt in range(1, MAX_ATTEMPTS + 1):
            try:
                return await self.call_once(call, deadline)
            except MarjoramtideError as error:
                pause_s = full_jitter(attempt, self.rng)
                is_too_late = self.clock.monotonic() + pause_s >= deadline
                is_final = error.code not in RETRYABLE_CODES or attempt == MAX_ATTEMPTS
                if is_final or is_too_late or self.circuit_breaker.is_open:
                    raise
                await self.clock.sleep(pause_s)
        raise AssertionError("unreachable")

    async def call_once(self, call: Call, deadline: float) -> StoreResponse:
        """Send the call once; an error code tells whether a failed write may have taken effect."""
        budget = self.write_budget if call.is_write else self.read_budget
        await budget.take(deadline, call.step)
        self.circuit_breaker.check(call, self.url)
        started_at, wall = self.clock.monotonic(), self.clock.wall()
        remaining_s = max(0.001, deadline - started_at)
        failure_code = ErrorCode.STORE_AMBIGUOUS if call.is_write else ErrorCode.STORE_UNAVAILABLE
        try:
            response = await self.exchange(call, remaining_s)
        except CallNotSentError as error:
            self.circuit_breaker.on_failure(call)
            raise self.error(ErrorCode.STORE_UNAVAILABLE, describe(error), call.step) from error
        except TimeoutError as error:
            if remaining_s < MIN_COUNTED_TIMEOUT_S:
                # Otherwise a few calls with short deadlines would open the circuit for all callers.
                self.circuit_breaker.on_abandoned(call)
            else:
                self.circuit_breaker.on_failure(call)
            raise self.error(failure_code, describe(error), call.step) from error
        except (ResponseLostError, aiohttp.ClientError) as error:
            self.circuit_breaker.on_failure(call)
            raise self.error(failure_code, describe(error), call.step) from error
        except BaseException:
            self.circuit_breaker.on_abandoned(call)
            raise
        self.update_clock_offset(
            response.headers.get("Date", ""), wall, self.clock.monotonic() - started_at
        )
        return response

    async def exchange(self, call: Call, remaining_s: float) -> StoreResponse:
        # The connect timeout is shorter than the total one, so that a call that was never sent can
        # be distinguished from one without a response.
        timeout = aiohttp.ClientTimeout(total=remaining_s, connect=remaining_s * 0.9)
        async with self.send_request(call, timeout) as response:
            body = await response.read()
            outcome = self.check_status(call, response.status, response.headers)
            epoch = self.read_epoch(call, response.headers)
            return StoreResponse(response.status, response.headers, body, outcome, epoch)

    def send_request(
        self, call: Call, timeout: aiohttp.ClientTimeout
    ) -> AbstractAsyncContextManager[aiohttp.ClientResponse]:
        self.calls_made += 1
        return self.get_session().request(
            call.method,
            self.url + call.path,
            params=call.params,
            headers=call.headers,
            data=call.body,
            timeout=timeout,
            allow_redirects=False,
        )

    def check_status(self, call: Call, status: int, headers: Mapping[str, str]) -> CallOutcome:
        """Return the outcome that a status stands for; raises for an unexpected status."""
        self.observe_epoch(self.read_epoch(call, headers))
        if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            self.circuit_breaker.on_failure(call)
            is_ambiguous = call.is_write and not self.protocol.is_definite_refusal(status, headers)
            code = ErrorCode.STORE_AMBIGUOUS if is_ambiguous else ErrorCode.STORE_UNAVAILABLE
            raise self.error(code, f"unexpected status {status}", call.step)
        self.circuit_breaker.on_success()
        if status == HTTPStatus.TOO_MANY_REQUESTS:
            (self.write_budget if call.is_write else self.read_budget).on_throttled()
            message = "the store's rate limit is reached"
            raise self.error(ErrorCode.STORE_THROTTLED, message, call.step)
        if status not in call.outcomes:
            raise self.error(ErrorCode.BAD_REQUEST, f"unexpected status {status}", call.step)
        return call.outcomes[status]

    def read_epoch(self, call: Call, headers: Mapping[str, str]) -> int:
        failure_code = ErrorCode.STORE_AMBIGUOUS if call.is_write else ErrorCode.STORE_UNAVAILABLE
        with self.malformed_as(failure_code, call.step):
            return self.protocol.epoch(headers)

    def get_session(self) -> aiohttp.ClientSession:
        """Return the session, opened on first use since it is bound to the running event loop."""
        if self.session is None:
            self.session = open_session()
        return self.session

    @contextmanager
    def malformed_as(self, code: ErrorCode, step: str) -> Iterator[None]:
        """Raise ``code`` if decoding a response fails."""
        try:
            yield
        except (KeyError, TypeError, ValueError) as error:
            raise self.error(code, f"malformed response: {error!r}", step) from error

    def count_unreadable(self, count: int, step: str) -> None:
        """Count and log entries that were skipped as malformed."""
        if count:
            self.unreadable += count
            log.warning(
                "store.unreadable",
                code=ErrorCode.BAD_FRAME,
                step=step,
                peer=self.url,
                count=count,
            )

    def error(self, code: ErrorCode, message: str, step: str) -> MarjoramtideError:
        return MarjoramtideError(code, message, step=step, peer=self.url)


def describe(error: BaseException) -> str:
    return str(error) or type(error).__name__


def open_object_store(
    url: str,
    *,
    clock: Clock | None = None,
    rng: random.Random | None = None,
    limits: StoreLimits | None = None,
    protocol: StoreProtocol | None = None,
) -> HttpObjectStore:
    """Return a client of the store at ``url`` (``http://10.0.0.5:8500``).

    It connects on the first call. Raises ``bad-settings`` if ``url`` is not an HTTP URL.
    """
    if not url.startswith(("http://", "https://")):
        raise MarjoramtideError(
            ErrorCode.BAD_SETTINGS,
            f"store: {url!r} does not start with http:// or https://",
            step="store.open",
        )
    return HttpObjectStore(
        url,
        protocol or DefaultStoreProtocol(),
        clock or SystemClock(),
        rng or random.Random(),
        limits or StoreLimits(),
    )
