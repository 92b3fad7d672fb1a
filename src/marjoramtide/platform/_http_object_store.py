"""The platform's object API over HTTP."""

import base64
import json
import random
from collections.abc import AsyncIterator, Mapping
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
MAX_LINE_BYTES = 2 * 1024 * 1024
WATCH_GRACE_S = 2.0
CONNECTIONS = 16
RETRIED = (ErrorCode.STORE_UNAVAILABLE, ErrorCode.STORE_THROTTLED)


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
    """One call to the store, as it may be made several times."""

    step: str
    method: str
    path: str
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
        self.session: aiohttp.ClientSession | None = None

    async def get(self, key: str, *, timeout: float = 2.0) -> StoredObject:
        answer = await self.call(Call("store.get", "GET", object_path(key)), timeout)
        if answer.status == HTTPStatus.NOT_FOUND:
            raise self.error(ErrorCode.NOT_FOUND, key, "store.get")
        return StoredObject(key, answer.body, answer.version)

    async def list(self, prefix: str, *, timeout: float = 2.0) -> Listing:
        call = Call("store.list", "GET", "/v1/objects", {"prefix": prefix})
        answer = await self.call(call, timeout)
        listed = json.loads(answer.body)
        return Listing(map(stored_object, listed["objects"]), listed["version"])

    async def create(self, key: str, value: bytes, *, timeout: float = 2.0) -> StoredObject:
        headers = {"If-None-Match": "*"}
        call = Call("store.create", "PUT", object_path(key), headers=headers, body=value)
        return StoredObject(key, value, (await self.write(call, key, timeout)).version)

    async def update(
        self, key: str, value: bytes, version: int, *, timeout: float = 2.0
    ) -> StoredObject:
        headers = {"If-Match": f'"{version}"'}
        call = Call("store.update", "PUT", object_path(key), headers=headers, body=value)
        return StoredObject(key, value, (await self.write(call, key, timeout)).version)

    async def delete(self, key: str, version: int, *, timeout: float = 2.0) -> None:
        headers = {"If-Match": f'"{version}"'}
        call = Call("store.delete", "DELETE", object_path(key), headers=headers)
        await self.write(call, key, timeout)

    async def watch(
        self, prefix: str, since: int, *, wait: float = 30.0
    ) -> AsyncIterator[WatchEvent]:
        step = "store.watch"
        await self.reads.take(self.clock.monotonic() + wait, step)
        self.circuit.enter(step, self.url)
        params = {"prefix": prefix, "since": str(since), "wait": f"{wait:g}"}
        timeout = aiohttp.ClientTimeout(total=wait + WATCH_GRACE_S, sock_connect=WATCH_GRACE_S)
        try:
            async with self.opened().get(
                f"{self.url}/v1/watch", params=params, timeout=timeout
            ) as response:
                self.settle(step, response.status)
                self.circuit.succeeded()
                if response.status == HTTPStatus.GONE:
                    raise self.error(ErrorCode.NOT_FOUND, f"no history since {since}", step)
                async for line in response.content:
                    yield watch_event(json.loads(line))
        except MarjoramtideError:
            raise
        except (AnswerLostError, CallNotSentError, aiohttp.ClientError, TimeoutError) as error:
            self.circuit.failed()
            raise self.error(ErrorCode.STORE_UNAVAILABLE, describe(error), step) from error
        finally:
            self.circuit.abandoned()

    async def close(self) -> None:
        if self.session is not None:
            await self.session.close()
            self.session = None

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
        left = max(0.001, deadline - self.clock.monotonic())
        unsure = ErrorCode.STORE_AMBIGUOUS if call.is_write else ErrorCode.STORE_UNAVAILABLE
        try:
            answer = await self.exchange(call, left)
        except CallNotSentError as error:
            self.circuit.failed()
            raise self.error(ErrorCode.STORE_UNAVAILABLE, describe(error), call.step) from error
        except (AnswerLostError, aiohttp.ClientError, TimeoutError) as error:
            self.circuit.failed()
            raise self.error(unsure, describe(error), call.step) from error
        except BaseException:
            self.circuit.abandoned()
            raise
        self.settle(call.step, answer.status, answer.headers, is_write=call.is_write)
        return answer

    async def exchange(self, call: Call, left: float) -> Answer:
        timeout = aiohttp.ClientTimeout(total=left, sock_connect=left * 0.9)
        async with self.opened().request(
            call.method,
            self.url + call.path,
            params=call.params,
            headers=call.headers,
            data=call.body,
            timeout=timeout,
        ) as response:
            return Answer(response.status, response.headers, await response.read())

    def settle(
        self,
        step: str,
        status: int,
        headers: Mapping[str, str] | None = None,
        *,
        is_write: bool = False,
    ) -> None:
        """Raise what a status means that says nothing of the object; the others pass."""
        if status == HTTPStatus.TOO_MANY_REQUESTS:
            self.circuit.succeeded()
            (self.writes if is_write else self.reads).throttled()
            raise self.error(ErrorCode.STORE_THROTTLED, "the store's rate is used up", step)
        if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            self.circuit.failed()
            # A gateway may answer 5xx for a write that the store behind it applied. Only the
            # store's own word that it did not look at the write makes a 5xx a certain refusal.
            refused = (headers or {}).get("Write-Applied") == "no"
            unsure = is_write and not refused
            code = ErrorCode.STORE_AMBIGUOUS if unsure else ErrorCode.STORE_UNAVAILABLE
            raise self.error(code, f"status {status}", step)
        self.circuit.succeeded()
        known = (
            HTTPStatus.NOT_FOUND,
            HTTPStatus.PRECONDITION_FAILED,
            HTTPStatus.GONE,
        )
        if status >= HTTPStatus.BAD_REQUEST and status not in known:
            raise self.error(ErrorCode.BAD_REQUEST, f"status {status}", step)

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
