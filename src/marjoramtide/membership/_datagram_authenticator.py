"""Authentication of datagrams with the key of the fleet."""

import hashlib
import hmac

from marjoramtide.membership._packet_error import DropCode, PacketError

MAX_DATAGRAM_BYTES = 1200
MAC_BYTES = 16


class DatagramAuthenticator:
    """Prepends a 16-byte keyed BLAKE2b (RFC 7693) to datagram bodies, and verifies it.

    ``context`` separates the uses of the key: a datagram of one use is invalid for all others.
    """

    def __init__(self, key: str, context: bytes) -> None:
        self.key = hashlib.blake2b(key.encode(), digest_size=32, person=context).digest()

    def mac(self, body: bytes) -> bytes:
        """Return the MAC of ``body``."""
        return hashlib.blake2b(body, digest_size=MAC_BYTES, key=self.key).digest()

    def seal(self, body: bytes) -> bytes:
        """Return the body with its MAC prepended."""
        return self.mac(body) + body

    def open(self, data: bytes) -> bytes:
        """Verify the MAC and return the body; raises ``PacketError`` if it doesn't match."""
        mac, body = data[:MAC_BYTES], data[MAC_BYTES:]
        if not hmac.compare_digest(mac, self.mac(body)):
            raise PacketError(DropCode.BAD_MAC, "not authenticated with this fleet's key")
        return body
