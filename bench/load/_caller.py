"""An HTTP client that sends calls and classifies the responses."""

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

# A caller gives up after this multiple of the deadline plus one second.
CLIENT_TIMEOUT_FACTOR = 2.0
REFUSAL_OUTCOMES = {"not-run": Outcome.NOT_RUN, "unknown": Outcome.UNKNOWN}


class Caller:
    """Many callers that share connections to the nodes.

    ``addresses_by_service`` holds the nodes' addresses for callers (``IP:PORT``) by service. Each
    attempt picks an address at random (seeded) and tries another one if it can't connect.
    """

    def __init__(self, addresses_by_service: dict[str, Sequence[str]], seed: int = 1) -> None:
        self.addresses_by_service = addresses_by_service
        self.random = random.Random(seed)
        self.session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Self:
        connector = aiohttp.TCPConnector(limit=0, ttl_dns_cache=None, keepalive_timeout=10)
        self.session = aiohttp.ClientSession(connector=connector, auto_decompress=False)
        # aiohttp retries a GET by itself when a kept connection breaks. The first one may have run,
        # so a refusal of the second would look like a false "not run".
        self.session._retry_connection = False
        return self

    async def __aexit__(self, *_: object) -> None:
        if self.session is not None:
            await self.session.close()

    async def attempt(self, call: PlannedCall, number: int) -> Attempt:
        """Make one attempt; try the other addresses if the first can't be reached."""
        addresses = self.addresses_by_service[call.service]
        shuffled = self.random.sample(list(addresses), len(addresses))
        request_id = call.request_id if number == 1 else f"{call.request_id}~{number}"
        sent_at = time.monotonic()
        for address in shuffled:
            attempt = await self.send(call, request_id, address, sent_at)
            if attempt.outcome is not Outcome.UNREACHABLE:
                break
        return attempt

    async def send(
        self, call: PlannedCall, request_id: str, address: str, sent_at: float
    ) -> Attempt:
        """Send the request to one address and read the whole response."""
        assert self.session is not None
        request_body = expected_body(f"body of {call.body_of or call.request_id}", call.body_bytes)
        client_timeout_s = call.timeout_ms / 1000 * CLIENT_TIMEOUT_FACTOR + 1

        def failed_attempt(outcome: Outcome, reason: str) -> Attempt:
            return Attempt(request_id, outcome, (time.monotonic() - sent_at) * 1000, reason=reason)

        try:
            async with self.session.request(
                call.method,
                f"http://{address}{call.target}",
                headers=request_headers(call, request_id),
                data=request_body or None,
                timeout=aiohttp.ClientTimeout(total=client_timeout_s),
            ) as response:
                response_body = await response.read()
                elapsed_ms = (time.monotonic() - sent_at) * 1000
                return classify_response(
                    call, request_id, request_body, response, response_body, elapsed_ms
                )
        except aiohttp.ClientConnectorError as error:
            return failed_attempt(Outcome.UNREACHABLE, type(error).__name__)
        except TimeoutError:
            return failed_attempt(Outcome.UNKNOWN, "no response")
        except (aiohttp.ClientError, OSError) as error:
            return failed_attempt(Outcome.UNKNOWN, type(error).__name__)

    async def call(self, call: PlannedCall) -> tuple[Attempt, ...]:
        """Make the call with its retries."""
        attempts = [await self.attempt(call, 1)]
        while self.should_retry(call, attempts):
            await asyncio.sleep(self.retry_delay_s(call, attempts[-1]))
            attempts.append(await self.attempt(call, len(attempts) + 1))
        return tuple(attempts)

    @staticmethod
    def should_retry(call: PlannedCall, attempts: Sequence[Attempt]) -> bool:
        is_retry_safe = call.idempotent or call.key or attempts[-1].outcome is Outcome.NOT_RUN
        is_final = attempts[-1].outcome in (Outcome.COMPLETED, Outcome.WRONG)
        return bool(is_retry_safe and not is_final and len(attempts) <= call.retries)

    @staticmethod
    def retry_delay_s(call: PlannedCall, last: Attempt) -> float:
        """Return the call's own retry delay, else the one that the refusal asks for."""
        requested_ms = last.retry_after_ms or 0.0
        return (call.retry_wait_ms or requested_ms) / 1000


def request_headers(call: PlannedCall, request_id: str) -> dict[str, str]:
    """Return the headers for service, request id, deadline, priority and idempotency key."""
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


def classify_response(
    call: PlannedCall,
    request_id: str,
    request_body: bytes,
    response: aiohttp.ClientResponse,
    response_body: bytes,
    elapsed_ms: float,
) -> Attempt:
    """Return an attempt with the outcome that the response states or implies."""
    headers = response.headers
    stated_outcome = REFUSAL_OUTCOMES.get(headers.get("Request-Outcome", ""))
    if stated_outcome is not None:
        outcome = stated_outcome
    elif response.status >= 400:
        is_backend_error = headers.get("Request-Outcome") == "completed"
        outcome = Outcome.FAILED if is_backend_error else Outcome.UNKNOWN
    elif is_matching_response(call, request_id, request_body, headers, response_body):
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


def is_matching_response(
    call: PlannedCall,
    request_id: str,
    request_body: bytes,
    headers: Mapping[str, str],
    response_body: bytes,
) -> bool:
    """Tell whether a successful response is the complete response to this request.

    The recorded response to a request with a key may belong to an earlier attempt of the call.
    """
    echoed_id = headers.get("X-Echo-Id", "")
    is_earlier_attempt = is_replayed(headers) and echoed_id.partition("~")[0] == call.request_id
    return (
        (echoed_id == request_id or is_earlier_attempt)
        and response_body == expected_body(echoed_id, call.answer_bytes)
        and headers.get("X-Body-Digest") == xxhash.xxh64(request_body).hexdigest()
    )


def is_replayed(headers: Mapping[str, str]) -> bool:
    """Tell whether the response was recorded when an earlier attempt with this key ran."""
    return headers.get("Idempotency-Replayed") == "true"


def retry_after_ms(headers: Mapping[str, str]) -> float | None:
    """Return the retry delay that a refusal asks for, in milliseconds."""
    if "Retry-After-Ms" in headers:
        return float(headers["Retry-After-Ms"])
    seconds = headers.get("Retry-After", "")
    return float(seconds) * 1000 if seconds.isdigit() else None
