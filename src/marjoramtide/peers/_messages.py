"""The messages between nodes."""

from typing import Any

import attrs


@attrs.frozen(slots=True)
class RequestMessage:
    """A request; ``more`` tells that its body follows in chunks once it is admitted.

    ``goal_ms`` is what remains until the answer is worth less, below 0 where that is not known.
    ``statement`` is what the sender has heard of the backend server beside the receiver.
    ``workspace`` is whom the request is for, ``None`` where that isn't known.
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
    key: str
    trace: str
    attempt: int
    body: bytes
    more: bool
    length: int
    request_id: str = ""
    rank: int = 0
    goal_ms: float = -1.0
    statement: list[Any] | None = None
    workspace: str | None = None


@attrs.frozen(slots=True)
class ContinueMessage:
    """The request is admitted: send its body."""

    id: int


@attrs.frozen(slots=True)
class RequestChunk:
    """A piece of a request's body."""

    id: int
    data: bytes
    last: bool


@attrs.frozen(slots=True)
class AnswerMessage:
    """An answer; ``more`` tells that its body follows in chunks."""

    id: int
    status: int
    headers: list[tuple[str, str]]
    body: bytes
    more: bool
    length: int
    report: list[Any] | None
    served_ms: float
    work_ms: float = 0.0


@attrs.frozen(slots=True)
class AnswerChunk:
    """A piece of an answer's body."""

    id: int
    data: bytes
    last: bool


@attrs.frozen(slots=True)
class FailureMessage:
    """No answer, or no rest of one; ``not_run`` tells that the request certainly did not run.

    ``reached`` tells that the backend server was sent it all the same.
    """

    id: int
    not_run: bool
    code: str
    text: str
    retry_after_ms: int
    report: list[Any] | None
    reached: bool = False


@attrs.frozen(slots=True)
class CancelMessage:
    """Nobody waits for this request any more."""

    id: int


@attrs.frozen(slots=True)
class CreditMessage:
    """The reader of a stream has taken this many bytes and has room for as many more."""

    id: int
    size: int


@attrs.frozen(slots=True)
class InFlightMessage:
    """What the sender begins to run for its own callers, and which of these runs are over.

    ``node`` is the sender, empty after the first message of a connection. ``begun`` holds a ticket
    and a fingerprint for each run, ``ended`` tickets.
    """

    node: str
    begun: list[Any]
    ended: list[Any]


@attrs.frozen(slots=True)
class QuestionMessage:
    """A question of one node to another, beside callers' requests."""

    id: int
    subject: str
    body: dict[str, Any]


@attrs.frozen(slots=True)
class ReplyMessage:
    """The answer to a question; ``code`` is empty unless it was refused."""

    id: int
    body: dict[str, Any]
    code: str
    text: str
