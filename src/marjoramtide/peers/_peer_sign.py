"""What a new connection to a node tells of it."""

from enum import Enum


class PeerProbeResult(Enum):
    """Whether a node lives, as far as one attempt to connect shows."""

    ALIVE = "alive"
    REFUSED = "refused"
    UNKNOWN = "unknown"
