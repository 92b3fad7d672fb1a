"""Reasons for which this node closes a connection to the backend server."""

from enum import StrEnum


class CloseReason(StrEnum):
    """Why this node closed a connection, as logs and errors state it."""

    EXCHANGE_FAILED = "exchange-failed"
    """The request failed or was cancelled before the head of its response was processed."""

    IDLE_EXPIRED = "idle-expired"
    """The connection was idle for as long as it may be kept."""

    INVALID_RESPONSE = "invalid-response"
    """The response must not be forwarded."""

    NOT_REUSABLE = "not-reusable"
    """The exchange has ended, and another one on the same connection would not be safe."""

    MAKING_ROOM = "making-room"
    """It was idle, another connection was needed, and no more may be open."""

    REQUEST_LIMIT = "request-limit"
    """It has carried as many requests as it may."""

    RESPONSE_CANCELLED = "response-cancelled"
    """The rest of the response is no longer wanted."""

    SERVER_REPLACED = "server-replaced"
    """A new process has replaced the backend server."""

    SHUTDOWN = "shutdown"
    """This node is stopping."""

    UNSOLICITED_DATA = "unsolicited-data"
    """The backend server sent bytes while no request was in progress."""

    UPLOAD_FAILED = "upload-failed"
    """The request body ended early or was longer than announced."""
