"""Why a datagram was dropped."""

from enum import StrEnum


class DropCode(StrEnum):
    """Reasons to drop a datagram, as they stand in counters and logs."""

    OVERSIZED = "oversized"
    BAD_MAC = "bad-mac"
    MALFORMED = "malformed"
    REPLAYED = "replayed"
    OUT_OF_TIME = "out-of-time"
    SENDER_GONE = "sender-gone"
    MISADDRESSED = "misaddressed"
    INTERNAL = "internal"


class PacketError(Exception):
    """A datagram that must not be acted on."""

    def __init__(self, code: DropCode, message: str) -> None:
        super().__init__(message)
        self.code = code
