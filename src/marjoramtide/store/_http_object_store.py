"""The platform's object API over HTTP."""

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
from marjoramtide.store._call_failed import AnswerLostError, CallNotSentError
from marjoramtide.store._circuit import Circuit
from marjoramtide.store._epoch import Epoch
from marjoramtide.store._http_session import open_session
from marjoramtide.store._listing import Listing
from marjoramtide.store._object_store import ObjectStore
from marjoramtide.store._own_protocol import DefaultStoreProtocol
from marjoramtide.store._store_limits import StoreLimits
from marjoramtide.store._store_protocol import Changes, StoreProtocol
from marjoramtide.store._stored_object import StoredObject
from marjoramtide.store._versions import dated, dated_event, epoch_of, revision_of, version_of
from marjoramtide.store._watch_event import WatchEvent

log = structlog.get_logger()

MAX_TRIES = 4
MAX_VALUE_BYTES = 1024 * 1024
WATCH_GRACE_S = 2.0
# What is left of a watch's time below this is not worth a call, which counts like any other.
SHORTEST_POLL_S = 0.5
SHORTEST_COUNTED_S = 0.25
LONGEST_TIMING_S = 5.0
RETRIED = (ErrorCode.STORE_UNAVAILABLE, ErrorCode.STORE_THROTTLED)


class HttpObjectStore(ObjectStore):
    """Calls the platform's object API with aiohttp.

    Tries again, within the timeout, only what certainly had no effect and reads. A write whose
    answer was lost is reported as ``store-ambiguous`` and never repeated here: ``create_resolved``
    and ``update_resolved`` find out what became of it.
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
        self.writes = CallBudget(clock, limits.writes_per_s, limits.write_burst)
        self.reads = CallBudget(clock, limits.reads_per_s, limits.read_burst)
        self.circuit = Circuit(clock, rng)
        self.offset: float | None = None
        self.session: aiohttp.ClientSession | None = None
        self.calls_made = 0
        self.unreadable = 0
        self.heard = Epoch()

    @property
    def epoch(self) -> int:
        return self.heard.number

    def on_epoch_change(self, listener: Callable[[int], None]) -> None:
        self.heard.listeners.append(listener)

    def observe_epoch(self, epoch: int) -> None:
        self.heard.hear(epoch, self.url)

    async def get(self, key: str, *, timeout: float = 2.0) -> StoredObject:
        call = self.protocol.get(key)
        answer = await self.call(call, timeout)
        if answer.meaning is CallOutcome.MISSING:
            raise self.error(ErrorCode.NOT_FOUND, key, call.step)
        with self.parsing(ErrorCode.STORE_UNAVAILABLE, call.step):
            return dated(self.protocol.read_object(key, answer), answer.epoch)

    async def list(self, prefix: str, *, timeout: float = 2.0) -> Listing:
        return await self.list_pages(prefix, timeout, may_be_old=False)

    async def list_allow_stale(self, prefix: str, *, timeout: float = 2.0) -> Listing:
        return await self.list_pages(prefix, timeout, may_be_old=True)

    async def list_pages(self, prefix: str, timeout: float, *, may_be_old: bool) -> Listing:
        objects: deque[StoredObject] = deque()
        epochs = set()
        after = ""
        while True:
            call = self.protocol.list_page(prefix, after, may_be_old=may_be_old)
            answer = await self.call(call, timeout)
            with self.parsing(ErrorCode.STORE_UNAVAILABLE, call.step):
                page = self.protocol.read_page(prefix, answer)
            self.note_unreadable(page.unreadable, call.step)
            objects += (dated(each, answer.epoch) for each in page.objects)
            epochs.add(answer.epoch)
            if len(epochs) > 1:
                raise self.error(ErrorCode.STORE_UNAVAILABLE, "a list of two epochs", call.step)
            if not page.after:
                return Listing(objects, version_of(answer.epoch, page.version))
            after = page.after

    async def create(self, key: str, value: bytes, *, timeout: float = 2.0) -> StoredObject:
        call = self.protocol.create(key, value)
        answer = await self.write(call, key, value, timeout)
        return self.read_written(call, key, value, answer)

    async def update(
        self, key: str, value: bytes, version: int, *, timeout: float = 2.0
    ) -> StoredObject:
        call = self.protocol.update(key, value, self.held_revision(key, version, "store.update"))
        answer = await self.write(call, key, value, timeout)
        self.check_epoch(answer, version, call)
        return self.read_written(call, key, value, answer)

    async def delete(self, key: str, version: int, *, timeout: float = 2.0) -> None:
        call = self.protocol.delete(key, self.held_revision(key, version, "store.delete"))
        self.check_epoch(await self.write(call, key, b"", timeout), version, call)

    def held_revision(self, key: str, version: int, step: str) -> int:
        """Return the revision of a version; raises ``version-conflict`` where its epoch is over.

        Failure: the store comes back from a copy, and counts on from an earlier revision. Under a
        version of before, a write meets an object that got the same revision since, and replaces
        what its writer has never read.
        """
        if epoch_of(version) < self.epoch:
            raise self.error(ErrorCode.VERSION_CONFLICT, f"{key}: of an earlier epoch", step)
        return revision_of(version)

    def check_epoch(self, answer: StoreResponse, version: int, call: Call) -> None:
        """Raise ``store-ambiguous`` where a write met another epoch than that of its condition.

        This node heard of the new epoch by the answer alone. What the write has replaced is not
        known; made again, it raises ``version-conflict``, and its writer reads what is there.
        """
        if answer.epoch != epoch_of(version):
            message = f"written in epoch {answer.epoch} under a version of {epoch_of(version)}"
            raise self.error(ErrorCode.STORE_AMBIGUOUS, message, call.step)

    async def watch(
        self, prefix: str, since: int, *, wait: float = 30.0
    ) -> AsyncIterator[WatchEvent]:
        if self.protocol.streams_watches:
            async for event in self.stream(prefix, since, wait):
                yield event
            return
        ends = self.clock.monotonic() + wait
        while (left := ends - self.clock.monotonic()) > SHORTEST_POLL_S:
            changes = await self.poll(prefix, since, left)
            since = changes.version
            for event in changes.events:
                yield event

    async def stream(self, prefix: str, since: int, wait: float) -> AsyncIterator[WatchEvent]:
        """Watch by one call whose answer brings a line for each change."""
        call = self.protocol.watch(prefix, revision_of(since), wait)
        async with self.watching(call, since, wait) as response:
            async for line in response.content:
                with self.parsing(ErrorCode.STORE_UNAVAILABLE, call.step):
                    event = self.protocol.read_event(prefix, line)
                yield dated_event(event, epoch_of(since))

    async def poll(self, prefix: str, since: int, wait: float) -> Changes:
        """Watch by one call that is answered when something has changed, or after ``wait``."""
        epoch = epoch_of(since)
        call = self.protocol.watch(prefix, revision_of(since), wait)
        async with self.watching(call, since, wait) as response:
            body = await response.read()
        with self.parsing(ErrorCode.STORE_UNAVAILABLE, call.step):
            changes = self.protocol.read_events(prefix, body)
        self.note_unreadable(changes.unreadable, call.step)
        return attrs.evolve(
            changes,
            events=[dated_event(event, epoch) for event in changes.events],
            version=version_of(epoch, changes.version),
        )

    @asynccontextmanager
    async def watching(
        self, call: Call, since: int, wait: float
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Make a call that may wait; raises ``not-found`` where its history is gone.

        It also is where the store has come back from a copy. Failure: the store has counted past
        the revision of the watch again. It takes the watch, and never tells of what changed between
        the copy and that revision.
        """
        self.check_history(call, since)
        await self.reads.take(self.clock.monotonic() + wait, call.step)
        self.circuit.enter(call.step, self.url)
        timeout = aiohttp.ClientTimeout(total=wait + WATCH_GRACE_S, connect=WATCH_GRACE_S)
        has_answered = False
        try:
            async with self.request(call, timeout) as response:
                has_answered = True
                if self.settle(call, response.status, response.headers) is CallOutcome.GAP:
                    raise self.error(ErrorCode.NOT_FOUND, "the history is gone", call.step)
                self.check_history(call, since)
                yield response
        except (AnswerLostError, CallNotSentError, aiohttp.ClientError, TimeoutError) as error:
            self.circuit.failed()
            raise self.error(ErrorCode.STORE_UNAVAILABLE, describe(error), call.step) from error
        finally:
            if not has_answered:
                self.circuit.abandoned()

    def check_history(self, call: Call, since: int) -> None:
        """Raise ``not-found`` where a watch goes on from a version of an earlier epoch."""
        if epoch_of(since) < self.epoch:
            message = "the store has come back from a copy"
            raise self.error(ErrorCode.NOT_FOUND, message, call.step)

    def time(self, wall: float) -> float | None:
        return None if self.offset is None else wall + self.offset

    def note_time(self, date: str, wall: float, took: float) -> None:
        """Learn from an answer's ``Date``, where the call began at ``wall`` and took ``took`` s.

        A node that is stopped between reading its clock and the answer would take the store to be
        ahead by as long, and claims to have ended that are still held. Such an answer took long.
        """
        if took <= LONGEST_TIMING_S:
            with suppress(ValueError):
                self.offset = parsedate_to_datetime(date).timestamp() - wall

    def set_max_retry_pause(self, seconds: float) -> None:
        self.circuit.longest_pause = seconds

    async def close(self) -> None:
        if self.session is not None:
            await self.session.close()
            self.session = None

    def read_written(
        self, call: Call, key: str, value: bytes, answer: StoreResponse
    ) -> StoredObject:
        with self.parsing(ErrorCode.STORE_AMBIGUOUS, call.step):
            return dated(self.protocol.read_written(key, value, answer), answer.epoch)

    async def write(self, call: Call, key: str, value: bytes, timeout: float) -> StoreResponse:
        if len(value) > MAX_VALUE_BYTES:
            message = f"{key}: {len(value)} bytes; at most {MAX_VALUE_BYTES} are allowed"
            raise self.error(ErrorCode.BAD_REQUEST, message, call.step)
        answer = await self.call(call, timeout)
        if answer.meaning is CallOutcome.CONFLICT:
            raise self.error(ErrorCode.VERSION_CONFLICT, key, call.step)
        if answer.meaning is CallOutcome.MISSING:
            raise self.error(ErrorCode.NOT_FOUND, key, call.step)
        return answer

    async def call(self, call: Call, timeout: float) -> StoreResponse:
        """Make the call, again where that is safe, until ``timeout`` seconds have passed."""
        deadline = self.clock.monotonic() + timeout
        for attempt in range(1, MAX_TRIES + 1):
            try:
                return await self.call_once(call, deadline)
            except MarjoramtideError as error:
                pause = full_jitter(attempt, self.rng)
                too_late = self.clock.monotonic() + pause >= deadline
                final = error.code not in RETRIED or attempt == MAX_TRIES
                if final or too_late or self.circuit.is_open:
                    raise
                await self.clock.sleep(pause)
        raise AssertionError("unreachable")

    async def call_once(self, call: Call, deadline: float) -> StoreResponse:
        """Make the call once, and tell what is known of its effect where it fails."""
        budget = self.writes if call.is_write else self.reads
        await budget.take(deadline, call.step)
        self.circuit.enter(call.step, self.url)
        began, wall = self.clock.monotonic(), self.clock.wall()
        left = max(0.001, deadline - began)
        unsure = ErrorCode.STORE_AMBIGUOUS if call.is_write else ErrorCode.STORE_UNAVAILABLE
        try:
            answer = await self.exchange(call, left)
        except CallNotSentError as error:
            self.circuit.failed()
            raise self.error(ErrorCode.STORE_UNAVAILABLE, describe(error), call.step) from error
        except TimeoutError as error:
            if left < SHORTEST_COUNTED_S:
                # A few callers in a hurry would otherwise close a store that is well to everyone.
                self.circuit.abandoned()
            else:
                self.circuit.failed()
            raise self.error(unsure, describe(error), call.step) from error
        except (AnswerLostError, aiohttp.ClientError) as error:
            self.circuit.failed()
            raise self.error(unsure, describe(error), call.step) from error
        except BaseException:
            self.circuit.abandoned()
            raise
        self.note_time(answer.headers.get("Date", ""), wall, self.clock.monotonic() - began)
        return answer

    async def exchange(self, call: Call, left: float) -> StoreResponse:
        # Waiting for a connection ends sooner than the whole, so that a call that never left is
        # told apart from one whose answer did not come.
        timeout = aiohttp.ClientTimeout(total=left, connect=left * 0.9)
        async with self.request(call, timeout) as response:
            body = await response.read()
            meaning = self.settle(call, response.status, response.headers)
            epoch = self.read_epoch(call, response.headers)
            return StoreResponse(response.status, response.headers, body, meaning, epoch)

    def request(
        self, call: Call, timeout: aiohttp.ClientTimeout
    ) -> AbstractAsyncContextManager[aiohttp.ClientResponse]:
        self.calls_made += 1
        return self.opened().request(
            call.method,
            self.url + call.path,
            params=call.params,
            headers=call.headers,
            data=call.body,
            timeout=timeout,
            allow_redirects=False,
        )

    def settle(self, call: Call, status: int, headers: Mapping[str, str]) -> CallOutcome:
        """Return what a status says of the object; raises for those that say nothing of it."""
        self.observe_epoch(self.read_epoch(call, headers))
        if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            self.circuit.failed()
            unsure = call.is_write and not self.protocol.certainly_refused(status, headers)
            code = ErrorCode.STORE_AMBIGUOUS if unsure else ErrorCode.STORE_UNAVAILABLE
            raise self.error(code, f"status {status}", call.step)
        self.circuit.succeeded()
        if status == HTTPStatus.TOO_MANY_REQUESTS:
            (self.writes if call.is_write else self.reads).throttled()
            message = "the store's rate is used up"
            raise self.error(ErrorCode.STORE_THROTTLED, message, call.step)
        if status not in call.meanings:
            raise self.error(ErrorCode.BAD_REQUEST, f"status {status}", call.step)
        return call.meanings[status]

    def read_epoch(self, call: Call, headers: Mapping[str, str]) -> int:
        unsure = ErrorCode.STORE_AMBIGUOUS if call.is_write else ErrorCode.STORE_UNAVAILABLE
        with self.parsing(unsure, call.step):
            return self.protocol.epoch(headers)

    def opened(self) -> aiohttp.ClientSession:
        """Return the session; made on first use, since it belongs to the running loop."""
        if self.session is None:
            self.session = open_session()
        return self.session

    @contextmanager
    def parsing(self, code: ErrorCode, step: str) -> Iterator[None]:
        """Raise ``code`` where the answer is not what the object API gives."""
        try:
            yield
        except (KeyError, TypeError, ValueError) as error:
            raise self.error(code, f"unreadable answer: {error!r}", step) from error

    def note_unreadable(self, count: int, step: str) -> None:
        """Count and log entries that another writer has spoiled; the others are used."""
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
    """Return the store at ``url`` (``http://10.0.0.5:8500``); connects when first called.

    Raises ``bad-settings`` where ``url`` is not an HTTP URL.
    """
    if not url.startswith(("http://", "https://")):
        raise MarjoramtideError(
            ErrorCode.BAD_SETTINGS,
            f"store: {url!r} does not begin with http:// or https://",
            step="store.open",
        )
    return HttpObjectStore(
        url,
        protocol or DefaultStoreProtocol(),
        clock or SystemClock(),
        rng or random.Random(),
        limits or StoreLimits(),
    )
