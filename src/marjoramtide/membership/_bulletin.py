"""Bulletins: small datagrams from one node to others, sent on the gossip port."""

from typing import Any

import cbor2

from marjoramtide.membership._datagram_authenticator import (
    MAX_DATAGRAM_BYTES,
    DatagramAuthenticator,
)
from marjoramtide.membership._packet_error import DropCode, PacketError

# Prefix of a bulletin. Gossip datagrams start with their MAC, so one in 2**32 looks like a bulletin
# and is dropped because its MAC doesn't match.
BULLETIN_MAGIC = b"mtB1"
# Prefix of a bulletin that the receiver should relay within its own data centre.
RELAY_MAGIC = b"mtR1"


class BulletinCodec:
    """Encodes bulletins with CBOR and authenticates them with a key derived for bulletins.

    Bulletins may be lost, and there is no replay protection: the content must show which of two
    bulletins is newer.
    """

    def __init__(self, key: str) -> None:
        self.authenticator = DatagramAuthenticator(key, b"mt-bulletin")

    def encode(self, sender: int, fields: list[Any]) -> bytes:
        """Return the datagram; ``sender`` is the member key of the sender."""
        return BULLETIN_MAGIC + self.authenticator.seal(cbor2.dumps([sender, *fields]))

    def as_relay_request(self, data: bytes) -> bytes:
        """Return a bulletin in the form that asks its receiver to relay it."""
        return RELAY_MAGIC + data[len(BULLETIN_MAGIC) :]

    def as_bulletin(self, data: bytes) -> bytes:
        """Return a relay request as the plain bulletin that the relay sends."""
        return BULLETIN_MAGIC + data[len(RELAY_MAGIC) :]

    def decode(self, data: bytes) -> tuple[int, list[Any]]:
        """Return the sender's member key and the fields; raises ``PacketError``."""
        if len(data) > MAX_DATAGRAM_BYTES:
            raise PacketError(DropCode.OVERSIZED, f"{len(data)} bytes")
        body = self.authenticator.open(data[len(BULLETIN_MAGIC) :])
        try:
            sender, *fields = cbor2.loads(body)
            return int(sender), fields
        except (cbor2.CBORError, ValueError, TypeError) as error:
            raise PacketError(DropCode.MALFORMED, str(error)) from error
