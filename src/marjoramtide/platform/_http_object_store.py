"""The platform's object API over HTTP."""

import base64
import json
import random
from collections.abc import AsyncIterator, Iterator, Mapping
from contextlib import AbstractAsyncContextManager, contextmanager, suppress
from email.utils import parsedate_to_datetime
from http import HTTPStatus
from urllib.parse import quote

import aiohttp
import attrs

from marjoramtide.clock import Clock, SystemClock
from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.platform._backoff import full_jitter
from marjoramtide.platform._call_budget import CallBudget
from marjoramtide.platform._call_failed import AnswerLostError, CallNotSentError, no_resend
from marjoramtide.platform._circuit import Circuit
from marjoramtide.platform._listing import Listing
from marjoramtide.platform._object_store import ObjectStore
from marjoramtide.platform._store_limits import StoreLimits
from marjoramtide.platform._stored_object import StoredObject
from marjoramtide.platform._watch_event import WatchEvent

MAX_TRIES = 4
MAX_VALUE_BYTES = 1024 * 1024
MAX_LINE_BYTES = 2 * 1024 * 1024
WATCH_GRACE_S = 2.0
CONNECTIONS = 16
SHORTEST_COUNTED_S = 0.25
LONGEST_TIMING_S = 5.0
RETRIED = (ErrorCode.STORE_UNAVAILABLE, ErrorCode.STORE_THROTTLED)

FOUND_OR_NOT = frozenset({HTTPStatus.OK, HTTPStatus.NOT_FOUND})
LISTED = frozenset({HTTPStatus.OK})
WATCHED_OR_GAP = frozenset({HTTPStatus.OK, HTTPStatus.GONE})
WRITTEN_OR_LOST = frozenset(
    {HTTPStatus.OK, HTTPStatus.CREATED, HTTPStatus.NO_CONTENT, HTTPStatus.PRECONDITION_FAILED}
)


@attrs.frozen(slots=True)
class Answer:
    """A whole answer of the store."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    @property
    def version(self) -> int:
        return int(self.headers["ETag"].strip('"'))


@attrs.frozen(slots=True)
class Call:
    """One call to the store, as it may be made several times.

    ``answers`` are the statuses that say something of the object.
    """

    step: str
    method: str
    path: str
    answers: frozenset[HTTPStatus]
    params: Mapping[str, str] = attrs.field(factory=dict)
    headers: Mapping[str, str] = attrs.field(factory=dict)
    body: bytes | None = None

    @property
    def is_write(self) -> bool:
        return self.method in ("PUT", "DELETE")


class HttpObjectStore(ObjectStore):
    """Calls the platform's object API with aiohttp.

    Tries again, within the timeout, only what certainly had no effect and reads. A write whose
    answer was lost is reported as ``store-ambiguous`` and never repeated here: ``create_resolved``
    and ``update_resolved`` find out what became of it.
    """

    def __init__(self, url: str, clock: Clock, rng: random.Random, limits: StoreLimits) -> None:
        self.url = url.rstrip("/")
        self.clock = clock
        self.rng = rng
        self.writes = CallBudget(clock, limits.writes_per_s, limits.write_burst)
        self.reads = CallBudget(clock, limits.reads_per_s, limits.read_burst)
        self.circuit = Circuit(clock, rng)
        self.offset: float | None = None
        self.session: aiohttp.ClientSession | None = None

    async def get(self, key: str, *, timeout: float = 2.0) -> StoredObject:
        step = "store.get"
        answer = await self.call(Call(step, "GET", object_path(key), FOUND_OR_NOT), timeout)
        if answer.status == HTTPStatus.NOT_FOUND:
            raise self.error(ErrorCode.NOT_FOUND, key, step)
        with self.parsing(ErrorCode.STORE_UNAVAILABLE, step):
            return StoredObject(key, answer.body, answer.version)

    async def list(self, prefix: str, *, timeout: float = 2.0) -> Listing:
        call = Call("store.list", "GET", "/v1/objects", LISTED, params={"prefix": prefix})
        answer = await self.call(call, timeout)
        with self.parsing(ErrorCode.STORE_UNAVAILABLE, call.step):
            listed = json.loads(answer.body)
            return Listing(map(stored_object, listed["objects"]), int(listed["version"]))

    async def create(self, key: str, value: bytes, *, timeout: float = 2.0) -> StoredObject:
        return await self.put("store.create", key, value, {"If-None-Match": "*"}, timeout)

    async def update(
        self, key: str, value: bytes, version: int, *, timeout: float = 2.0
    ) -> StoredObject:
        return await self.put("store.update", key, value, {"If-Match": f'"{version}"'}, timeout)

    async def delete(self, key: str, version: int, *, timeout: float = 2.0) -> None:
        headers = {"If-Match": f'"{version}"'}
        path = object_path(key)
        call = Call("store.delete", "DELETE", path, WRITTEN_OR_LOST, headers=headers)
        await self.write(call, key, timeout)

    async def watch(
        self, prefix: str, since: int, *, wait: float = 30.0
    ) -> AsyncIterator[WatchEvent]:
        step = "store.watch"
        await self.reads.take(self.clock.monotonic() + wait, step)
        self.circuit.enter(step, self.url)
        params = {"prefix": prefix, "since": str(since), "wait": f"{wait:g}"}
        timeout = aiohttp.ClientTimeout(total=wait + WATCH_GRACE_S, connect=WATCH_GRACE_S)
        call = Call(step, "GET", "/v1/watch", WATCHED_OR_GAP, params=params)
        has_answered = False
        try:
            async with self.request(call, timeout) as response:
                has_answered = True
                self.settle(call, response.status, response.headers)
                if response.status == HTTPStatus.GONE:
                    raise self.error(ErrorCode.NOT_FOUND, f"no history since {since}", step)
                async for line in response.content:
                    with self.parsing(ErrorCode.STORE_UNAVAILABLE, step):
                        event = watch_event(json.loads(line))
                    yield event
        except (AnswerLostError, CallNotSentError, aiohttp.ClientError, TimeoutError) as error:
            self.circuit.failed()
            raise self.error(ErrorCode.STORE_UNAVAILABLE, describe(error), step) from error
        finally:
            if not has_answered:
                self.circuit.abandoned()

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

    async def close(self) -> None:
        if self.session is not None:
            await self.session.close()
            self.session = None

    async def put(
        self, step: str, key: str, value: bytes, condition: Mapping[str, str], timeout: float
    ) -> StoredObject:
        if len(value) > MAX_VALUE_BYTES:
            message = f"{key}: {len(value)} bytes; at most {MAX_VALUE_BYTES} are allowed"
            raise self.error(ErrorCode.BAD_REQUEST, message, step)
        path = object_path(key)
        call = Call(step, "PUT", path, WRITTEN_OR_LOST, headers=condition, body=value)
        answer = await self.write(call, key, timeout)
        with self.parsing(ErrorCode.STORE_AMBIGUOUS, step):
            return StoredObject(key, value, answer.version)

    async def write(self, call: Call, key: str, timeout: float) -> Answer:
        answer = await self.call(call, timeout)
        if answer.status == HTTPStatus.PRECONDITION_FAILED:
            raise self.error(ErrorCode.VERSION_CONFLICT, key, call.step)
        return answer

    async def call(self, call: Call, timeout: float) -> Answer:
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

    async def call_once(self, call: Call, deadline: float) -> Answer:
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
        self.settle(call, answer.status, answer.headers)
        return answer

    async def exchange(self, call: Call, left: float) -> Answer:
        # Waiting for a connection ends sooner than the whole, so that a call that never left is
        # told apart from one whose answer did not come.
        timeout = aiohttp.ClientTimeout(total=left, connect=left * 0.9)
        async with self.request(call, timeout) as response:
            return Answer(response.status, response.headers, await response.read())

    def request(
        self, call: Call, timeout: aiohttp.ClientTimeout
    ) -> AbstractAsyncContextManager[aiohttp.ClientResponse]:
        return self.opened().request(
            call.method,
            self.url + call.path,
            params=call.params,
            headers=call.headers,
            data=call.body,
            timeout=timeout,
            allow_redirects=False,
        )

    def settle(self, call: Call, status: int, headers: Mapping[str, str]) -> None:
        """Raise what a status means that says nothing of the object; the others pass."""
        if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            self.circuit.failed()
            # A gateway may answer 5xx for a write that the store behind it applied. Only the
            # store's own word that it did not look at the write makes a 5xx a certain refusal.
            refused = headers.get("Write-Applied") == "no"
            unsure = call.is_write and not refused
            code = ErrorCode.STORE_AMBIGUOUS if unsure else ErrorCode.STORE_UNAVAILABLE
            raise self.error(code, f"status {status}", call.step)
        self.circuit.succeeded()
        if status == HTTPStatus.TOO_MANY_REQUESTS:
            (self.writes if call.is_write else self.reads).throttled()
            message = "the store's rate is used up"
            raise self.error(ErrorCode.STORE_THROTTLED, message, call.step)
        if status not in call.answers:
            raise self.error(ErrorCode.BAD_REQUEST, f"status {status}", call.step)

    def opened(self) -> aiohttp.ClientSession:
        """Return the session; made on first use, since it belongs to the running loop."""
        if self.session is None:
            connector = aiohttp.TCPConnector(limit=CONNECTIONS, keepalive_timeout=10)
            self.session = aiohttp.ClientSession(
                connector=connector,
                middlewares=[no_resend],
                cookie_jar=aiohttp.DummyCookieJar(),
                read_bufsize=MAX_LINE_BYTES,
            )
        return self.session

    @contextmanager
    def parsing(self, code: ErrorCode, step: str) -> Iterator[None]:
        """Raise ``code`` where the answer is not what the object API gives."""
        try:
            yield
        except (KeyError, TypeError, ValueError) as error:
            raise self.error(code, f"unreadable answer: {error!r}", step) from error

    def error(self, code: ErrorCode, message: str, step: str) -> MarjoramtideError:
        return MarjoramtideError(code, message, step=step, peer=self.url)


def object_path(key: str) -> str:
    return f"/v1/objects/{quote(key)}"


def describe(error: BaseException) -> str:
    return str(error) or type(error).__name__


def stored_object(entry: dict[str, object]) -> StoredObject:
    """Return an object from its entry in a list or a watch."""
    value = base64.b64decode(str(entry["value"]))
    return StoredObject(str(entry["key"]), value, int(str(entry["version"])))


def watch_event(entry: dict[str, object]) -> WatchEvent:
    stored = None if entry["value"] is None else stored_object(entry)
    return WatchEvent(str(entry["key"]), int(str(entry["version"])), stored)


def open_object_store(
    url: str,
    *,
    clock: Clock | None = None,
    rng: random.Random | None = None,
    limits: StoreLimits | None = None,
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
        url, clock or SystemClock(), rng or random.Random(), limits or StoreLimits()
    )
