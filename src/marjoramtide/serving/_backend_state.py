"""What the backend server's own health endpoint says."""

from enum import StrEnum


class BackendState(StrEnum):
    """Whether the backend server takes new work."""

    READY = "ready"
    DRAINING = "draining"
    DOWN = "down"
