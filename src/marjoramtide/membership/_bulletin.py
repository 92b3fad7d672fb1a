"""Small news of one node for others, on the gossip port."""

from typing import Any

import cbor2

from marjoramtide.membership._datagram_authenticator import (
    MAX_DATAGRAM_BYTES,
    DatagramAuthenticator,
)
from marjoramtide.membership._packet_error import DropCode, PacketError

# Begins a bulletin. A gossip datagram begins with its authentication code, which is as good as
# random: one in four thousand million looks like a bulletin, and is dropped as not authentic.
BULLETIN_MAGIC = b"mtB1"
# Begins one that its reader is to pass on in its own data centre.
RELAY_MAGIC = b"mtR1"


class BulletinCodec:
    """Encodes with CBOR and authenticates as gossip does, with a key of its own.

    A bulletin may be lost, and may be played again by whoever has seen it: its content must say
    which of two is newer.
    """

    def __init__(self, key: str) -> None:
        self.authenticator = DatagramAuthenticator(key, b"mt-bulletin")

    def encode(self, sender: int, fields: list[Any]) -> bytes:
        """Return the datagram; ``sender`` is the key that stands for the sending member."""
        return BULLETIN_MAGIC + self.authenticator.seal(cbor2.dumps([sender, *fields]))

    def as_relay_request(self, data: bytes) -> bytes:
        """Return a datagram for a member that is to pass it on."""
        return RELAY_MAGIC + data[len(BULLETIN_MAGIC) :]

    def as_bulletin(self, data: bytes) -> bytes:
        """Return such a datagram as that member sends it to others."""
        return BULLETIN_MAGIC + data[len(RELAY_MAGIC) :]

    def decode(self, data: bytes) -> tuple[int, list[Any]]:
        """Return the sender's key and the fields; raises ``PacketError``."""
        if len(data) > MAX_DATAGRAM_BYTES:
            raise PacketError(DropCode.OVERSIZED, f"{len(data)} bytes")
        body = self.authenticator.open(data[len(BULLETIN_MAGIC) :])
        try:
            sender, *fields = cbor2.loads(body)
            return int(sender), fields
        except (cbor2.CBORError, ValueError, TypeError) as error:
            raise PacketError(DropCode.MALFORMED, str(error)) from error
