"""How two nodes prove to each other that they hold the fleet's key.

A challenge and response in both directions (HMAC over both nonces and the role), so that a process
without the key can neither ask nor answer, and a recorded handshake is of no use: the nonces are
new each time. It proves who opened the connection; it does not hide what travels on it.
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


def proof(key: str, role: str, first: bytes, second: bytes, lane: str) -> bytes:
    """Return the HMAC that shows knowledge of ``key`` for this connection and role."""
    text = b"|".join((b"marjoramtide-peer-1", role.encode(), lane.encode(), first, second))
    return hmac.new(key.encode(), text, hashlib.sha256).digest()


async def open_as_client(socket, key: str, lane: str, peer: str) -> None:  # type: ignore[no-untyped-def]
    """Prove the key to the server on ``socket`` and check its proof."""
    mine = secrets.token_bytes(NONCE_BYTES)
    await socket.send(cbor2.dumps([mine, lane]))
    theirs, their_proof = _read(await socket.recv(), peer, NONCE_BYTES, PROOF_BYTES)
    if not hmac.compare_digest(their_proof, proof(key, "server", mine, theirs, lane)):
        raise MarjoramtideError(
            ErrorCode.BAD_KEY, "the peer does not hold our key", step="peers.handshake", peer=peer
        )
    await socket.send(cbor2.dumps([proof(key, "client", mine, theirs, lane)]))
    # Requests wait for this: sent at once, one that the server refuses to read would be "unknown".
    _fields(await socket.recv(), peer, 0)


async def open_as_server(socket, key: str, peer: str) -> str:  # type: ignore[no-untyped-def]
    """Prove the key to the client on ``socket``, check its proof and return its lane."""
    theirs, lane = _read_hello(await socket.recv(), peer)
    mine = secrets.token_bytes(NONCE_BYTES)
    await socket.send(cbor2.dumps([mine, proof(key, "server", theirs, mine, lane)]))
    (their_proof,) = _read(await socket.recv(), peer, PROOF_BYTES)
    if not hmac.compare_digest(their_proof, proof(key, "client", theirs, mine, lane)):
        raise MarjoramtideError(
            ErrorCode.BAD_KEY, "the peer does not hold our key", step="peers.handshake", peer=peer
        )
    # Up to here anybody could have sent; frames of requests are larger than a handshake's.
    socket.protocol.max_message_size = MAX_FRAME_BYTES
    await socket.send(cbor2.dumps([]))
    return lane


def _fields(frame: object, peer: str, count: int) -> list[object]:
    """Return the fields of a handshake message; raises ``bad-frame`` for anything else."""
    try:
        fields = cbor2.loads(frame)  # type: ignore[arg-type]
    except Exception as error:
        raise _no_handshake(peer) from error
    if not isinstance(fields, list) or len(fields) != count:
        raise _no_handshake(peer)
    return fields


def _read(frame: object, peer: str, *sizes: int) -> list[bytes]:
    """Return byte strings of just these sizes, so that no two handshakes have one proof."""
    fields = _fields(frame, peer, len(sizes))
    found = [field for field in fields if isinstance(field, bytes)]
    if [len(field) for field in found] != list(sizes):
        raise _no_handshake(peer)
    return found


def _read_hello(frame: object, peer: str) -> tuple[bytes, str]:
    """Return the client's nonce and its lane."""
    nonce, lane = _fields(frame, peer, 2)
    if not isinstance(nonce, bytes) or len(nonce) != NONCE_BYTES or lane not in LANES:
        raise _no_handshake(peer)
    return nonce, str(lane)


def _no_handshake(peer: str) -> MarjoramtideError:
    return MarjoramtideError(
        ErrorCode.BAD_FRAME, "not a handshake", step="peers.handshake", peer=peer
    )
