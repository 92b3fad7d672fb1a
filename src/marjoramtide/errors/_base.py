"""The base class of all errors of the project."""

from marjoramtide.errors._codes import ErrorCode


class MarjoramtideError(Exception):
    """An error with a code, the step that failed, and the peer involved.

    ``step`` names the operation as in the logs (``"peers.connect"``); ``peer`` is the address of
    the node, backend server or store, or an empty string if no other party was involved.
    ``retry_after_ms`` is the delay after which a caller should retry, if known.

    For example, ``MarjoramtideError(ErrorCode.PEER_LOST, "connection closed", step="peers.send",
    peer="10.0.0.7:7101")`` prints as
    ``peer-lost at peers.send (10.0.0.7:7101): connection closed``.
    """

    def __init__(
        self,
        code: ErrorCode,
        message: str,
        *,
        step: str,
        peer: str = "",
        retry_after_ms: int | None = None,
    ) -> None:
        super().__init__(message)
        self.code = code
        self.message = message
        self.step = step
        self.peer = peer
        self.retry_after_ms = retry_after_ms

    def __str__(self) -> str:
        location = f"{self.step} ({self.peer})" if self.peer else self.step
        return f"{self.code} at {location}: {self.message}"
