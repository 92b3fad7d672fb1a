"""Small news of one node for others, on the gossip port."""

import hashlib
import hmac
from typing import Any

import cbor2

from marjoramtide.membership._packet_codec import MAC_BYTES, MAX_DATAGRAM_BYTES
from marjoramtide.membership._packet_error import DropCode, PacketError

# Begins a bulletin. A gossip datagram begins with its authentication code, which is as good as
# random: one in four thousand million looks like a bulletin, and is dropped as not authentic.
MAGIC = b"mtB1"


class BulletinCodec:
    """Encodes with CBOR and authenticates as gossip does, with a key of its own.

    A bulletin may be lost, and may be played again by whoever has seen it: its content must say
    which of two is newer.
    """

    def __init__(self, key: str) -> None:
        self.key = hashlib.blake2b(key.encode(), digest_size=32, person=b"mt-bulletin").digest()

    def mac(self, body: bytes) -> bytes:
        """Return the authentication code of ``body``."""
        return hashlib.blake2b(body, digest_size=MAC_BYTES, key=self.key).digest()

    def encode(self, sender: int, fields: list[Any]) -> bytes:
        """Return the datagram; ``sender`` is the key that stands for the sending member."""
        body = cbor2.dumps([sender, *fields])
        return MAGIC + self.mac(body) + body

    def decode(self, data: bytes) -> tuple[int, list[Any]]:
        """Return the sender's key and the fields; raises ``PacketError``."""
        if len(data) > MAX_DATAGRAM_BYTES:
            raise PacketError(DropCode.OVERSIZED, f"{len(data)} bytes")
        start = len(MAGIC)
        mac, body = data[start : start + MAC_BYTES], data[start + MAC_BYTES :]
        if not hmac.compare_digest(mac, self.mac(body)):
            raise PacketError(DropCode.BAD_MAC, "not authenticated with this fleet's key")
        try:
            sender, *fields = cbor2.loads(body)
            return int(sender), fields
        except (cbor2.CBORError, ValueError, TypeError) as error:
            raise PacketError(DropCode.MALFORMED, str(error)) from error
