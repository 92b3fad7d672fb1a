"""Errors for datagrams that are dropped."""

from enum import StrEnum


class DropCode(StrEnum):
    """Reasons for dropping a datagram, as written to counters and logs."""

    OVERSIZED = "oversized"
    BAD_MAC = "bad-mac"
    MALFORMED = "malformed"
    REPLAYED = "replayed"
    OUT_OF_TIME = "out-of-time"
    SENDER_GONE = "sender-gone"
    MISADDRESSED = "misaddressed"
    INTERNAL = "internal"


class PacketError(Exception):
    """Raised for a datagram that must be dropped."""

    def __init__(self, code: DropCode, message: str) -> None:
        super().__init__(message)
        self.code = code
