"""Authentication of datagrams with the fleet's key."""

import hashlib
import hmac

from marjoramtide.membership._packet_error import DropCode, PacketError

MAX_DATAGRAM_BYTES = 1200
MAC_BYTES = 16


class DatagramAuthenticator:
    """Puts a keyed BLAKE2b (RFC 7693) of 16 bytes before a body, and checks it.

    ``purpose`` keeps what is sealed for one use from being taken for another.
    """

    def __init__(self, key: str, purpose: bytes) -> None:
        self.key = hashlib.blake2b(key.encode(), digest_size=32, person=purpose).digest()

    def mac(self, body: bytes) -> bytes:
        """Return the authentication code of ``body``."""
        return hashlib.blake2b(body, digest_size=MAC_BYTES, key=self.key).digest()

    def seal(self, body: bytes) -> bytes:
        """Return the body behind its code."""
        return self.mac(body) + body

    def open(self, data: bytes) -> bytes:
        """Return the body; raises ``PacketError`` for all that this fleet did not send."""
        mac, body = data[:MAC_BYTES], data[MAC_BYTES:]
        if not hmac.compare_digest(mac, self.mac(body)):
            raise PacketError(DropCode.BAD_MAC, "not authenticated with this fleet's key")
        return body
