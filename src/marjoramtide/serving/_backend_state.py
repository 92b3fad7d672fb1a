"""Health state of the backend server."""

from enum import StrEnum


class BackendState(StrEnum):
    """Whether the backend server accepts new requests."""

    READY = "ready"
    DRAINING = "draining"
    DOWN = "down"
