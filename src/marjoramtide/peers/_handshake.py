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

NONCE_BYTES = 16
HANDSHAKE_TIMEOUT_S = 2.0


def proof(key: str, role: str, first: bytes, second: bytes, lane: str) -> bytes:
    """Return the HMAC that shows knowledge of ``key`` for this connection and role."""
    text = b"|".join((b"marjoramtide-peer-1", role.encode(), lane.encode(), first, second))
    return hmac.new(key.encode(), text, hashlib.sha256).digest()


async def open_as_client(socket, key: str, lane: str, peer: str) -> None:  # type: ignore[no-untyped-def]
    """Prove the key to the server on ``socket`` and check its proof."""
    mine = secrets.token_bytes(NONCE_BYTES)
    await socket.send(cbor2.dumps([mine, lane]))
    theirs, their_proof = _read(await socket.recv(), peer, 2)
    if not hmac.compare_digest(their_proof, proof(key, "server", mine, theirs, lane)):
        raise MarjoramtideError(
            ErrorCode.BAD_KEY, "the peer does not hold our key", step="peers.handshake", peer=peer
        )
    await socket.send(cbor2.dumps([proof(key, "client", mine, theirs, lane)]))


async def open_as_server(socket, key: str, peer: str) -> str:  # type: ignore[no-untyped-def]
    """Prove the key to the client on ``socket``, check its proof and return its lane."""
    theirs, lane = _read(await socket.recv(), peer, 2)
    mine = secrets.token_bytes(NONCE_BYTES)
    await socket.send(cbor2.dumps([mine, proof(key, "server", theirs, mine, lane)]))
    (their_proof,) = _read(await socket.recv(), peer, 1)
    if not hmac.compare_digest(their_proof, proof(key, "client", theirs, mine, lane)):
        raise MarjoramtideError(
            ErrorCode.BAD_KEY, "the peer does not hold our key", step="peers.handshake", peer=peer
        )
    return lane


def _read(frame: object, peer: str, count: int) -> list:  # type: ignore[type-arg]
    try:
        fields = cbor2.loads(frame)  # type: ignore[arg-type]
        if not isinstance(fields, list) or len(fields) != count:
            raise ValueError("not a handshake")
        if not all(isinstance(field, (bytes, str)) for field in fields):
            raise ValueError("not a handshake")
        return fields
    except Exception as error:
        raise MarjoramtideError(
            ErrorCode.BAD_FRAME, str(error), step="peers.handshake", peer=peer
        ) from error
