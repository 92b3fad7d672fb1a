"""Callers of a soak: bookings, uploads and lookups over connections that they keep."""

import asyncio
import contextlib
import hashlib
import random
import time

import attrs

from soak._answers import SEAL_HEADER, expected_body, expected_seal
from soak._records import CallerRecord, ReceivedAnswer

HOST_NAME = "soak.example"
LOOKUP_SHARE = 0.3
LEAVING_SHARE = 0.04
OWN_CONNECTION_SHARE = 0.3
PIECES = 8
SEND_ON_S = 0.5
OK_STATUS = 200
TEXT_BYTES = 80


@attrs.frozen(slots=True)
class CallKind:
    """A kind of request: where it goes, its body and how long its caller waits."""

    name: str
    prefix: str
    idempotent: bool
    body_bytes: int
    deadline_ms: int
    chunked: bool = False
    piece_pause_s: float = 0.0


KINDS = (
    CallKind("booking", "/pay/", False, 400, 1500),
    CallKind("payment", "/pay3/", False, 20_000, 1500),
    CallKind("urgent", "/pay/", False, 0, 500),
    CallKind("upload", "/up/", False, 150_000, 3000),
    CallKind("slow-upload", "/up/", False, 150_000, 3000, piece_pause_s=0.06),
    CallKind("chunked-upload", "/up/", False, 90_000, 3000, chunked=True, piece_pause_s=0.02),
    CallKind("small-upload", "/up/", False, 30_000, 1500, piece_pause_s=0.03),
)
LOOKUP = CallKind("lookup", "/board/", True, 0, 1500)
MOVED = CallKind("moved", "/moved/", True, 0, 1500)
MOVED_SHARE = 0.5


@attrs.define(slots=True, eq=False)
class Callers:
    """Sends requests through nodes that are drawn, and records the answers.

    ``addresses`` are the nodes' addresses for callers. With ``uses_moved_route`` some lookups go to
    the route that configurations move.
    """

    addresses: list[str]
    rng: random.Random
    seed: int
    uses_moved_route: bool = False
    records: list[CallerRecord] = attrs.Factory(list)
    tasks: set["asyncio.Task[None]"] = attrs.Factory(set)
    idle: dict[int, list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = attrs.Factory(dict)
    sent: int = 0

    def start_one(self) -> None:
        """Start to send one request."""
        kind = LOOKUP if self.rng.random() < LOOKUP_SHARE else self.rng.choice(KINDS)
        if self.uses_moved_route and self.rng.random() < MOVED_SHARE:
            kind = MOVED
        self.sent += 1
        name = f"{self.seed} {self.sent}"
        attempt = hashlib.sha256(name.encode()).hexdigest()[:16]
        leaves_after_s = self.rng.uniform(0, 0.3) if self.rng.random() < LEAVING_SHARE else None
        node = self.rng.randrange(len(self.addresses))
        task = asyncio.create_task(self.send(kind, attempt, node, leaves_after_s))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def send(
        self, kind: CallKind, attempt: str, node: int, leaves_after_s: float | None
    ) -> None:
        """Send one request and record what came of it."""
        sent_at = time.time()
        timeout_s = kind.deadline_ms / 1000 + 0.5 if leaves_after_s is None else leaves_after_s
        try:
            async with asyncio.timeout(timeout_s):
                answer = await self.exchange(kind, attempt, node)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
            answer = ReceivedAnswer(text=type(error).__name__)
        self.records.append(
            CallerRecord(attempt, node, kind.name, kind.idempotent, sent_at, time.time(), answer)
        )

    async def exchange(self, kind: CallKind, attempt: str, node: int) -> ReceivedAnswer:
        """Send a request on a connection to a node and return the answer."""
        reader, writer = await self.connect(node)
        sending = asyncio.create_task(send_request(writer, kind, attempt))
        is_reusable = False
        try:
            answer, is_reusable = await read_answer(reader, attempt)
            # Callers go on sending a body that was answered early, but not for ever.
            await asyncio.wait([sending], timeout=SEND_ON_S)
            is_reusable = is_reusable and sending.done()
            return answer
        finally:
            sending.cancel()
            if is_reusable:
                self.idle.setdefault(node, []).append((reader, writer))
            else:
                writer.transport.abort()

    async def connect(self, node: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Return a kept connection to a node, or a new one."""
        kept = self.idle.get(node, [])
        while kept and self.rng.random() > OWN_CONNECTION_SHARE:
            reader, writer = kept.pop()
            if not (reader.at_eof() or writer.transport.is_closing()):
                return reader, writer
        host, _, port = self.addresses[node].rpartition(":")
        return await asyncio.open_connection(host, int(port))


async def send_request(writer: asyncio.StreamWriter, kind: CallKind, attempt: str) -> None:
    """Send a request, its body in pieces with pauses between them."""
    framing = "Transfer-Encoding: chunked" if kind.chunked else f"Content-Length: {kind.body_bytes}"
    method = "GET" if kind.idempotent else "POST"
    ids = f"X-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {kind.deadline_ms}"
    writer.write(
        f"{method} {kind.prefix}{attempt} HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
        f"{ids}\r\n{framing}\r\n\r\n".encode()
    )
    pieces = PIECES if kind.piece_pause_s else 1
    piece = b"x" * (kind.body_bytes // pieces)
    rest = kind.body_bytes - len(piece) * pieces
    with contextlib.suppress(ConnectionError):
        for number in range(pieces):
            data = piece + b"x" * (rest if number == pieces - 1 else 0)
            if data:
                writer.write(b"%x\r\n%b\r\n" % (len(data), data) if kind.chunked else data)
            await writer.drain()
            await asyncio.sleep(kind.piece_pause_s)
        if kind.chunked:
            writer.write(b"0\r\n\r\n")


async def read_answer(reader: asyncio.StreamReader, attempt: str) -> tuple[ReceivedAnswer, bool]:
    """Read an answer; return it, and whether its connection may be kept."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    status = int(head[0].split(" ")[1])
    fields = (line.partition(":") for line in head[1:] if line)
    headers = {name.lower(): value.strip() for name, _, value in fields}
    try:
        body = await read_body(reader, headers)
    except (OSError, asyncio.IncompleteReadError, KeyError):
        return ReceivedAnswer(status, text="cut off"), False
    has_own_seal = headers.get(SEAL_HEADER.lower()) == expected_seal(attempt)
    is_own = has_own_seal and body == expected_body(attempt)
    text = "" if is_own else body[:TEXT_BYTES].decode("latin-1")
    may_keep = status == OK_STATUS and headers.get("connection", "").lower() != "close"
    return ReceivedAnswer(status, is_whole=True, is_own=is_own, text=text), may_keep


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read the body of an answer to its end by its own framing."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers["content-length"]))
    body = b""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        body += await reader.readexactly(size)
        await reader.readuntil(b"\r\n")
    await reader.readuntil(b"\r\n")
    return body
