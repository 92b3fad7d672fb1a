"""Mutual authentication of two nodes by the shared key of the fleet.

A challenge-response handshake in both directions (HMAC over both nonces, the role and the lane). A
process without the key can neither ask nor answer, and a recorded handshake can't be replayed,
since the nonces are new each time. It authenticates both ends of the connection; the traffic is not
encrypted.
"""

import hashlib
import hmac
import secrets

import cbor2

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.peers._lanes import LANES
from marjoramtide.peers._limits import MAX_FRAME_BYTES

NONCE_BYTES = 16
PROOF_BYTES = 32
HANDSHAKE_TIMEOUT_S = 2.0


def make_proof(key: str, role: str, client_nonce: bytes, server_nonce: bytes, lane: str) -> bytes:
    """Return the HMAC that proves knowledge of ``key`` for this connection and role."""
    text = b"|".join(
        (b"marjoramtide-peer-1", role.encode(), lane.encode(), client_nonce, server_nonce)
    )
    return hmac.new(key.encode(), text, hashlib.sha256).digest()


async def open_as_client(socket, key: str, lane: str, peer: str) -> None:  # type: ignore[no-untyped-def]
    """Authenticate to the server on ``socket`` and verify its proof."""
    own_nonce = secrets.token_bytes(NONCE_BYTES)
    await socket.send(cbor2.dumps([own_nonce, lane]))
    peer_nonce, peer_proof = _read_byte_strings(await socket.recv(), peer, NONCE_BYTES, PROOF_BYTES)
    if not hmac.compare_digest(peer_proof, make_proof(key, "server", own_nonce, peer_nonce, lane)):
        raise MarjoramtideError(
            ErrorCode.BAD_KEY,
            "the peer does not have this fleet's key",
            step="peers.handshake",
            peer=peer,
        )
    await socket.send(cbor2.dumps([make_proof(key, "client", own_nonce, peer_nonce, lane)]))
    # Wait for the server's confirmation before any request is sent. A request sent at once to a
    # server that then refuses the connection would have an unknown outcome.
    _read_fields(await socket.recv(), peer, 0)


async def open_as_server(socket, key: str, peer: str) -> str:  # type: ignore[no-untyped-def]
    """Authenticate to the client on ``socket``, verify its proof and return its lane."""
    peer_nonce, lane = _read_client_hello(await socket.recv(), peer)
    own_nonce = secrets.token_bytes(NONCE_BYTES)
    await socket.send(
        cbor2.dumps([own_nonce, make_proof(key, "server", peer_nonce, own_nonce, lane)])
    )
    (peer_proof,) = _read_byte_strings(await socket.recv(), peer, PROOF_BYTES)
    if not hmac.compare_digest(peer_proof, make_proof(key, "client", peer_nonce, own_nonce, lane)):
        raise MarjoramtideError(
            ErrorCode.BAD_KEY,
            "the peer does not have this fleet's key",
            step="peers.handshake",
            peer=peer,
        )
    # Until here the peer was unauthenticated, and frames were limited to the size of a handshake;
    # frames of requests are larger.
    socket.protocol.max_message_size = MAX_FRAME_BYTES
    await socket.send(cbor2.dumps([]))
    return lane


def _read_fields(frame: object, peer: str, count: int) -> list[object]:
    """Return the fields of a handshake message; raises ``bad-frame`` if it is malformed."""
    try:
        fields = cbor2.loads(frame)  # type: ignore[arg-type]
    except Exception as error:
        raise _malformed_error(peer) from error
    if not isinstance(fields, list) or len(fields) != count:
        raise _malformed_error(peer)
    return fields


def _read_byte_strings(frame: object, peer: str, *sizes: int) -> list[bytes]:
    """Return byte strings of exactly these sizes, so that no two handshakes have one proof."""
    fields = _read_fields(frame, peer, len(sizes))
    byte_strings = [field for field in fields if isinstance(field, bytes)]
    if [len(field) for field in byte_strings] != list(sizes):
        raise _malformed_error(peer)
    return byte_strings


def _read_client_hello(frame: object, peer: str) -> tuple[bytes, str]:
    """Return the client's nonce and its lane; raises ``bad-frame`` if malformed."""
    nonce, lane = _read_fields(frame, peer, 2)
    if not isinstance(nonce, bytes) or len(nonce) != NONCE_BYTES or lane not in LANES:
        raise _malformed_error(peer)
    return nonce, str(lane)


def _malformed_error(peer: str) -> MarjoramtideError:
    return MarjoramtideError(
        ErrorCode.BAD_FRAME, "malformed handshake message", step="peers.handshake", peer=peer
    )
