"""The messages between nodes. They are sent as lists: the order of the fields is fixed."""

from typing import Any

import attrs


@attrs.frozen(slots=True)
class RequestMessage:
    """A request; with ``has_body_chunks`` its body follows in chunks once it is admitted.

    ``goal_ms`` is the time left until the response loses value, below 0 if unknown. ``statement``
    is the latest statement that the sender has of the receiver's backend server. ``workspace`` is
    the workspace that the request belongs to, ``None`` if unknown.
    """

    id: int
    service: str
    method: str
    target: str
    headers: list[tuple[str, str]]
    urgent: bool
    idempotent: bool
    remaining_ms: float
    depth: int
    idempotency_key: str
    trace: str
    attempt: int
    body: bytes
    has_body_chunks: bool
    length: int
    request_id: str = ""
    rank: int = 0
    goal_ms: float = -1.0
    statement: list[Any] | None = None
    workspace: str | None = None


@attrs.frozen(slots=True)
class ContinueMessage:
    """The request has been admitted, and its body may be sent."""

    id: int


@attrs.frozen(slots=True)
class RequestChunk:
    """A chunk of a request body."""

    id: int
    data: bytes
    is_last: bool


@attrs.frozen(slots=True)
class ResponseMessage:
    """A response; with ``has_body_chunks`` its body follows in chunks."""

    id: int
    status: int
    headers: list[tuple[str, str]]
    body: bytes
    has_body_chunks: bool
    length: int
    report: list[Any] | None
    served_ms: float
    work_ms: float = 0.0


@attrs.frozen(slots=True)
class ResponseChunk:
    """A chunk of a response body."""

    id: int
    data: bytes
    is_last: bool


@attrs.frozen(slots=True)
class FailureMessage:
    """There is no response, or the rest of its body is missing.

    ``not_run`` says that the request certainly did not run, ``reached_backend`` that it was sent to
    the backend server nevertheless.
    """

    id: int
    not_run: bool
    code: str
    text: str
    retry_after_ms: int
    report: list[Any] | None
    reached_backend: bool = False


@attrs.frozen(slots=True)
class CancelMessage:
    """The sender no longer waits for this request."""

    id: int


@attrs.frozen(slots=True)
class CreditMessage:
    """Flow control: the consumer of a stream has read this many bytes, and accepts as many more."""

    id: int
    size: int


@attrs.frozen(slots=True)
class InFlightMessage:
    """Requests of the sender's own callers that it starts to run, and ones that have finished.

    ``node`` is the sender, empty after the first message of a connection. ``started`` holds pairs
    of a ticket and a fingerprint, ``finished`` tickets.
    """

    node: str
    started: list[Any]
    finished: list[Any]


@attrs.frozen(slots=True)
class QuestionMessage:
    """A control question from one node to another."""

    id: int
    subject: str
    body: dict[str, Any]


@attrs.frozen(slots=True)
class ReplyMessage:
    """The reply to a question; ``code`` is empty unless it is an error."""

    id: int
    body: dict[str, Any]
    code: str
    text: str
