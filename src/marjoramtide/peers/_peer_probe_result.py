"""The result of a probe of a node."""

from enum import Enum


class PeerProbeResult(Enum):
    """Whether a node is alive, as far as one connection attempt shows."""

    ALIVE = "alive"
    REFUSED = "refused"
    UNKNOWN = "unknown"
