"""The base class of every error of the product."""

from marjoramtide.errors._codes import ErrorCode


class MarjoramtideError(Exception):
    """An error with a code, the step at which it arose, and the peer it concerns.

    ``step`` names what was being done in the words of the logs (``"peers.connect"``); ``peer`` is
    the node, backend server or store address, or an empty string where no other party took part.
    ``retry_after_ms`` tells a caller when to come back, in milliseconds, where that is known.

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
        where = f"{self.step} ({self.peer})" if self.peer else self.step
        return f"{self.code} at {where}: {self.message}"
