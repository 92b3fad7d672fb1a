"""What a new connection to a node tells of it."""

from enum import Enum


class PeerSign(Enum):
    """Whether a node lives, as far as one attempt to connect shows."""

    LIVES = "lives"
    GONE = "gone"
    UNKNOWN = "unknown"
