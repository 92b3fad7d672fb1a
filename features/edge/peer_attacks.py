"""Attacks on a peer port by unauthenticated clients and faulty nodes."""

import asyncio
import secrets
from collections.abc import Awaitable, Callable
from typing import Any

import cbor2
from websockets.asyncio.client import ClientConnection, connect
from websockets.exceptions import ConnectionClosed

from marjoramtide.peers._codec import encode
from marjoramtide.peers._handshake import make_proof, open_as_client
from marjoramtide.peers._messages import (
    CancelMessage,
    ContinueMessage,
    CreditMessage,
    InFlightMessage,
    RequestChunk,
    RequestMessage,
)
from standins.mesh._mesh_node import KEY

Attack = Callable[[str], Awaitable[None]]
CLOSE_TIMEOUT_S = 4.0


def request(number: int = 1, **changes: Any) -> bytes:
    """Return the frame of a request, with some fields changed."""
    values: dict[str, Any] = {
        "id": number,
        "service": "mapdesk",
        "method": "POST",
        # Runs longer than the frames that follow need, so that a frame that violates the protocol
        # of a request in progress meets one. It is a retry, since a node whose server stalls
        # briefly rejects first attempts at once.
        "target": "/attack?ms=1000",
        "headers": [("Host", "mapdesk")],
        "urgent": False,
        "idempotent": False,
        "remaining_ms": 4000.0,
        "depth": 1,
        "idempotency_key": "",
        "trace": "",
        "attempt": 2,
        "body": b"",
        "has_body_chunks": False,
        "length": -1,
    }
    return encode(RequestMessage(**{**values, **changes}))


async def open_socket(address: str) -> ClientConnection:
    """Open a connection without a handshake."""
    return await connect(f"ws://{address}/", compression=None, max_size=None, proxy=None)


async def open_peer(address: str, lane: str = "routine") -> ClientConnection:
    """Open an authenticated connection, as a node does."""
    socket = await open_socket(address)
    await open_as_client(socket, KEY, lane, address)
    return socket


async def wait_closed(socket: ClientConnection) -> None:
    """Wait until the peer closes; raises ``TimeoutError`` with what was received instead."""
    received = []
    try:
        async with asyncio.timeout(CLOSE_TIMEOUT_S):
            while True:
                received.append(await socket.recv())
    except ConnectionClosed:
        return
    except TimeoutError as error:
        raise TimeoutError(f"the connection stayed open; received: {received}") from error


def frames(*wanted: bytes, lane: str = "routine") -> Attack:
    """Return the attack that sends these frames after a valid handshake."""

    async def attack(address: str) -> None:
        socket = await open_peer(address, lane)
        for frame in wanted:
            await socket.send(frame)
        await wait_closed(socket)

    return attack


def first_frame(frame: bytes | str) -> Attack:
    """Return the attack that sends this instead of a handshake."""

    async def attack(address: str) -> None:
        socket = await open_socket(address)
        await socket.send(frame)
        await wait_closed(socket)

    return attack


def raw_bytes(data: bytes) -> Attack:
    """Return the attack that sends these bytes over plain TCP."""

    async def attack(address: str) -> None:
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        async with asyncio.timeout(CLOSE_TIMEOUT_S):
            while await reader.read(65536):
                pass
        writer.close()

    return attack


async def no_handshake(address: str) -> None:
    await wait_closed(await open_socket(address))


async def wrong_key(address: str) -> None:
    """Answer the server's challenge with a proof made from another key."""
    socket = await open_socket(address)
    client_nonce = secrets.token_bytes(16)
    await socket.send(cbor2.dumps([client_nonce, "routine"]))
    server_nonce, _ = cbor2.loads(await socket.recv())
    await socket.send(
        cbor2.dumps(
            [make_proof("another key of 16+", "client", client_nonce, server_nonce, "routine")]
        )
    )
    await wait_closed(socket)


async def replay(address: str) -> None:
    """Replay the client's recorded half of a handshake, with a request behind it."""
    client_nonce = secrets.token_bytes(16)
    first = await open_socket(address)
    await first.send(cbor2.dumps([client_nonce, "routine"]))
    server_nonce, _ = cbor2.loads(await first.recv())
    recorded = cbor2.dumps([make_proof(KEY, "client", client_nonce, server_nonce, "routine")])
    await first.send(recorded)
    await first.recv()
    second = await open_socket(address)
    await second.send(cbor2.dumps([client_nonce, "routine"]))
    await second.recv()
    await second.send(recorded)
    await second.send(request())
    await wait_closed(second)
    await first.close()


async def send_body_frames(address: str, *wanted: bytes) -> None:
    """Start a request, wait until its body is requested, then send these frames."""
    socket = await open_peer(address)
    await socket.send(request(has_body_chunks=True))
    frame = await socket.recv()
    assert frame == encode(ContinueMessage(1)), frame
    for frame in wanted:
        await socket.send(frame)
    await wait_closed(socket)


def body_frames(*wanted: bytes) -> Attack:
    return lambda address: send_body_frames(address, *wanted)


ATTACKS: dict[str, Attack] = {
    "bytes that are no HTTP": raw_bytes(secrets.token_bytes(64) + b"\r\n\r\n"),
    "plain HTTP": raw_bytes(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
    "no handshake": no_handshake,
    "a handshake of text": first_frame("hello"),
    "a handshake of garbage": first_frame(b"\xff\x00garbage"),
    "a nonce that is text": first_frame(cbor2.dumps(["a" * 16, "routine"])),
    "a nonce that is empty": first_frame(cbor2.dumps([b"", "routine"])),
    "an unknown lane": first_frame(cbor2.dumps([b"a" * 16, "express"])),
    "a lane that is no text": first_frame(cbor2.dumps([b"a" * 16, 7])),
    "a handshake of 100 KB": first_frame(b"\x5a\x00\x01\x86\xa0" + b"a" * 100000),
    "another key": wrong_key,
    "a replayed handshake": replay,
    "garbage after the handshake": frames(b"\xff\xfe garbage"),
    "deep nesting": frames(b"\x81" * 100000 + b"\x00"),
    "a huge array's head": frames(b"\x9b\x7f\xff\xff\xff\xff\xff\xff\xff"),
    "an unknown message": frames(cbor2.dumps([99, 1])),
    "a negative message number": frames(cbor2.dumps([-1, 1, {}, "", ""])),
    "too few fields": frames(cbor2.dumps([0, 1])),
    "a frame of 3 MB": frames(cbor2.dumps(b"a" * 3_000_000)),
    "a request number used twice": frames(request(), request()),
    "runs that are none": frames(encode(InFlightMessage("n", ["x"], [])), lane="runs"),
    "a run without a fingerprint": frames(encode(InFlightMessage("n", [[1]], [])), lane="runs"),
    "a ticket that is no number": frames(encode(InFlightMessage("n", [], ["1"])), lane="runs"),
    "a request among runs": frames(request(), lane="runs"),
    "a target that leads elsewhere": frames(request(target="@127.0.0.1:9/")),
    "a target with a line break": frames(request(target="/ HTTP/1.1\r\nX: y\r\n\r\n")),
    "a deadline that is no number": frames(request(remaining_ms=float("nan"))),
    "headers that are none": frames(request(headers=[1, 2])),
    "a header with a line break": frames(request(headers=[("X", "a\r\nY: b")])),
    "a method with a space": frames(request(method="GET /other")),
    "a chunk nobody asked for": frames(request(), encode(RequestChunk(1, b"a", False))),
    "an answer to nothing asked": frames(request(has_body_chunks=True), encode(ContinueMessage(1))),
    "an empty chunk": body_frames(encode(RequestChunk(1, b"", False))),
    "a credit of a gigabyte": body_frames(encode(CreditMessage(1, 1 << 30))),
    "a negative credit": body_frames(encode(CreditMessage(1, -5))),
}


async def unknown_ids(address: str) -> Any:
    """Send frames for unknown requests, then a request; return its decoded response frame."""
    socket = await open_peer(address)
    for stray in (RequestChunk(77, b"a" * 1000, False), CreditMessage(78, 5), CancelMessage(79)):
        await socket.send(encode(stray))
    await socket.send(request(number=2, method="GET", idempotent=True))
    try:
        async with asyncio.timeout(CLOSE_TIMEOUT_S):
            return cbor2.loads(await socket.recv())
    finally:
        await socket.close()
