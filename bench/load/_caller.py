"""Sends calls and judges the answers."""

import asyncio
import random
import time
from collections.abc import Mapping, Sequence
from typing import Self

import aiohttp
import xxhash

from bench.load._attempt import Attempt
from bench.load._outcome import Outcome
from bench.load._planned_call import PlannedCall
from standins.expected_body import expected_body

PATIENCE = 2.0  # a caller gives up after this multiple of the deadline, and one second
HEADERS_OF_OUTCOME = {"not-run": Outcome.NOT_RUN, "unknown": Outcome.UNKNOWN}


class Caller:
    """A crowd of callers that share connections to the nodes they enter by.

    ``entries`` are the nodes' addresses for callers (``IP:PORT``) by service; each attempt takes
    one at random (seeded), and another one where no connection can be made.
    """

    def __init__(self, entries: dict[str, Sequence[str]], seed: int = 1) -> None:
        self.entries = entries
        self.random = random.Random(seed)
        self.session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Self:
        connector = aiohttp.TCPConnector(limit=0, ttl_dns_cache=None, keepalive_timeout=10)
        self.session = aiohttp.ClientSession(connector=connector, auto_decompress=False)
        # The library sends a GET a second time by itself when a kept connection breaks. The first
        # sending may have run, so a refusal of the second would look like a false "not run".
        self.session._retry_connection = False
        return self

    async def __aexit__(self, *_: object) -> None:
        if self.session is not None:
            await self.session.close()

    async def attempt(self, call: PlannedCall, number: int) -> Attempt:
        """Make one attempt, at other entries where the first can't be reached."""
        addresses = self.entries[call.service]
        chosen = self.random.sample(list(addresses), len(addresses))
        request_id = call.request_id if number == 1 else f"{call.request_id}~{number}"
        sent = time.monotonic()
        for address in chosen:
            attempt = await self.send(call, request_id, address, sent)
            if attempt.outcome is not Outcome.UNREACHABLE:
                break
        return attempt

    async def send(self, call: PlannedCall, request_id: str, address: str, sent: float) -> Attempt:
        """Send the request to one entry and read the whole answer."""
        assert self.session is not None
        body = expected_body(f"body of {call.body_of or call.request_id}", call.body_bytes)
        patience_s = call.timeout_ms / 1000 * PATIENCE + 1

        def ended(outcome: Outcome, reason: str) -> Attempt:
            return Attempt(request_id, outcome, (time.monotonic() - sent) * 1000, reason=reason)

        try:
            async with self.session.request(
                call.method,
                f"http://{address}{call.target}",
                headers=request_headers(call, request_id),
                data=body or None,
                timeout=aiohttp.ClientTimeout(total=patience_s),
            ) as response:
                answer = await response.read()
                elapsed_ms = (time.monotonic() - sent) * 1000
                return judge(call, request_id, body, response, answer, elapsed_ms)
        except aiohttp.ClientConnectorError as error:
            return ended(Outcome.UNREACHABLE, type(error).__name__)
        except TimeoutError:
            return ended(Outcome.UNKNOWN, "no answer")
        except (aiohttp.ClientError, OSError) as error:
            return ended(Outcome.UNKNOWN, type(error).__name__)

    async def call(self, call: PlannedCall) -> tuple[Attempt, ...]:
        """Make the call, with the retries that its caller makes."""
        attempts = [await self.attempt(call, 1)]
        while self.tries_again(call, attempts):
            await asyncio.sleep(self.wait_s(call, attempts[-1]))
            attempts.append(await self.attempt(call, len(attempts) + 1))
        return tuple(attempts)

    @staticmethod
    def tries_again(call: PlannedCall, attempts: Sequence[Attempt]) -> bool:
        safe = call.idempotent or call.key or attempts[-1].outcome is Outcome.NOT_RUN
        settled = attempts[-1].outcome in (Outcome.COMPLETED, Outcome.WRONG)
        return bool(safe and not settled and len(attempts) <= call.retries)

    @staticmethod
    def wait_s(call: PlannedCall, last: Attempt) -> float:
        """Return the caller's own wait where the trace sets one, else what the refusal asks for."""
        asked_ms = last.retry_after_ms or 0.0
        return (call.retry_wait_ms or asked_ms) / 1000


def request_headers(call: PlannedCall, request_id: str) -> dict[str, str]:
    """Return the headers by which a caller tells service, class, deadline and identity."""
    headers = {
        "Host": call.service,
        "X-Request-Id": request_id,
        "Request-Timeout-Ms": str(call.timeout_ms),
    }
    if call.urgent:
        headers["Priority"] = "u=1"
    if call.key:
        headers["Idempotency-Key"] = call.key
    return headers


def judge(
    call: PlannedCall,
    request_id: str,
    body: bytes,
    response: aiohttp.ClientResponse,
    answer: bytes,
    elapsed_ms: float,
) -> Attempt:
    """Tell what an answer means: whole and the caller's own, an honest refusal, or neither."""
    headers = response.headers
    stated = HEADERS_OF_OUTCOME.get(headers.get("Request-Outcome", ""))
    if stated is not None:
        outcome = stated
    elif response.status >= 400:
        passed_on = headers.get("Request-Outcome") == "completed"
        outcome = Outcome.FAILED if passed_on else Outcome.UNKNOWN
    elif is_own(call, request_id, body, headers, answer):
        outcome = Outcome.COMPLETED
    else:
        outcome = Outcome.WRONG
    return Attempt(
        request_id,
        outcome,
        elapsed_ms,
        status=response.status,
        reason=headers.get("Proxy-Status", ""),
        retry_after_ms=retry_after_ms(headers),
        backend=headers.get("X-Backend", ""),
        replayed=is_replayed(headers),
    )


def is_own(
    call: PlannedCall,
    request_id: str,
    body: bytes,
    headers: Mapping[str, str],
    answer: bytes,
) -> bool:
    """Tell whether a successful answer is the whole answer to this very request.

    The recorded answer of a request with a key is that of one of the call's earlier attempts.
    """
    answered = headers.get("X-Echo-Id", "")
    earlier = is_replayed(headers) and answered.partition("~")[0] == call.request_id
    return (
        (answered == request_id or earlier)
        and answer == expected_body(answered, call.answer_bytes)
        and headers.get("X-Body-Digest") == xxhash.xxh64(body).hexdigest()
    )


def is_replayed(headers: Mapping[str, str]) -> bool:
    """Tell whether the answer was recorded when an earlier attempt with this key ran."""
    return headers.get("Idempotency-Replayed") == "true"


def retry_after_ms(headers: Mapping[str, str]) -> float | None:
    """Return when a refusal asks the caller to come back, in milliseconds."""
    if "Retry-After-Ms" in headers:
        return float(headers["Retry-After-Ms"])
    seconds = headers.get("Retry-After", "")
    return float(seconds) * 1000 if seconds.isdigit() else None
