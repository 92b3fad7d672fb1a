"""Small news of one node for others, on the gossip port."""

from typing import Any

import cbor2

from marjoramtide.membership._datagram_seal import MAX_DATAGRAM_BYTES, DatagramSeal
from marjoramtide.membership._packet_error import DropCode, PacketError

# Begins a bulletin. A gossip datagram begins with its authentication code, which is as good as
# random: one in four thousand million looks like a bulletin, and is dropped as not authentic.
MAGIC = b"mtB1"
# Begins one that its reader is to pass on in its own data centre.
RELAYED = b"mtR1"


class BulletinCodec:
    """Encodes with CBOR and authenticates as gossip does, with a key of its own.

    A bulletin may be lost, and may be played again by whoever has seen it: its content must say
    which of two is newer.
    """

    def __init__(self, key: str) -> None:
        self.seal = DatagramSeal(key, b"mt-bulletin")

    def encode(self, sender: int, fields: list[Any]) -> bytes:
        """Return the datagram; ``sender`` is the key that stands for the sending member."""
        return MAGIC + self.seal.close(cbor2.dumps([sender, *fields]))

    def to_pass_on(self, data: bytes) -> bytes:
        """Return a datagram for a member that is to pass it on."""
        return RELAYED + data[len(MAGIC) :]

    def passed_on(self, data: bytes) -> bytes:
        """Return such a datagram as that member sends it to others."""
        return MAGIC + data[len(RELAYED) :]

    def decode(self, data: bytes) -> tuple[int, list[Any]]:
        """Return the sender's key and the fields; raises ``PacketError``."""
        if len(data) > MAX_DATAGRAM_BYTES:
            raise PacketError(DropCode.OVERSIZED, f"{len(data)} bytes")
        body = self.seal.open(data[len(MAGIC) :])
        try:
            sender, *fields = cbor2.loads(body)
            return int(sender), fields
        except (cbor2.CBORError, ValueError, TypeError) as error:
            raise PacketError(DropCode.MALFORMED, str(error)) from error
