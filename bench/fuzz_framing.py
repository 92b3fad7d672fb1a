"""Requests that are valid in unusual framing: chunks of any size, sent ahead, in any pieces."""

import asyncio
import random
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path

import attrs
import xxhash

from standins.mesh import Mesh, make_plan
from standins.raw_caller import send_raw

HOST = "mapdesk"
MAX_AHEAD = 12
MAX_BODY_BYTES = 20_000
CHUNK_SIZES = (1, 2, 7, 100, 4096, 65536)
PIECE_SIZES = (1, 3, 50, 1000, 20_000, 1 << 20)
MAX_PIECES = 200
# The node closes the connection after the last answer, so that this ends no ordinary wait.
SILENCE_S = 20.0
TIMEOUT_MS = 20_000


@attrs.frozen(slots=True)
class FramedRequests:
    """Requests for one connection in the pieces in which they are written, and their digests.

    ``digests`` are those of the bodies in order, which the stand-in's answers state.
    """

    pieces: tuple[bytes, ...]
    digests: tuple[str, ...]


def chunked(body: bytes, size: int) -> bytes:
    """Return a body in chunks of ``size`` bytes."""
    parts = (body[start : start + size] for start in range(0, len(body), size))
    return b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"


def draw_requests(rng: random.Random) -> FramedRequests:
    """Draw requests of one connection."""
    data, digests = b"", []
    count = rng.randint(1, MAX_AHEAD)
    for number in range(count):
        body = rng.randbytes(rng.choice((0, 1, 500, rng.randint(0, MAX_BODY_BYTES))))
        # One empty line before a request is to be ignored (RFC 9112, section 2.2).
        head = rng.choice((b"", b"\r\n")) + b"POST /?ms=1 HTTP/1.1\r\nHost: mapdesk\r\n"
        head += b"Request-Timeout-Ms: %d\r\n" % TIMEOUT_MS
        if number == count - 1:
            head += b"Connection: close\r\n"
        if rng.random() < 0.7:
            framed = b"Transfer-Encoding: chunked\r\n\r\n" + chunked(body, rng.choice(CHUNK_SIZES))
        else:
            framed = b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
        data += head + framed
        digests.append(xxhash.xxh64(body).hexdigest())
    size = max(rng.choice(PIECE_SIZES), len(data) // MAX_PIECES)
    pieces = tuple(data[start : start + size] for start in range(0, len(data), size))
    return FramedRequests(pieces, tuple(digests))


def digests_of(answer: bytes) -> tuple[str, ...]:
    """Return the digests that the successful answers of a connection state, in order."""
    lines = answer.decode("latin-1").split("\r\n")
    prefix = "x-body-digest: "
    return tuple(line[len(prefix) :].strip() for line in lines if line.lower().startswith(prefix))


async def find_unanswered(count: int, seed: int, end: float) -> list[str]:
    """Send ``count`` drawn connections to a real node; return those not answered in full.

    Stops at ``end`` on the monotonic clock. The same seed draws the same requests.
    """
    rng = random.Random(f"{seed} framing")
    found = []
    with tempfile.TemporaryDirectory() as folder:
        async with Mesh(Path(folder), make_plan({HOST: 1})) as mesh:
            await mesh.wait_until_ready()
            for number, drawn in enumerate(draw_many(rng, count)):
                if time.monotonic() > end:
                    break
                answer = await send_raw(
                    mesh.nodes[0].callers, *drawn.pieces, pause_s=0.0, silence_s=SILENCE_S
                )
                if digests_of(answer.data) != drawn.digests:
                    found.append(f"connection {number}: {answer.statuses} for {drawn.digests}")
    return found


def draw_many(rng: random.Random, count: int) -> Iterator[FramedRequests]:
    """Draw the requests of ``count`` connections."""
    return (draw_requests(rng) for _ in range(count))


def run_framing(count: int, seed: int, end: float) -> list[str]:
    """Return the connections with valid requests that a real node did not answer in full."""
    return asyncio.run(find_unanswered(count, seed, end))
