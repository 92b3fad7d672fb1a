"""What callers and backend servers have seen of requests."""

import attrs


@attrs.frozen(slots=True)
class ReceivedAnswer:
    """An answer as its caller saw it; ``status`` is 0 if there was none.

    ``is_whole`` is whether the answer ended by its own framing, ``is_own`` whether its body and
    seal are those that a server makes for this request. ``text`` is the beginning of another body,
    or what kept the answer away.
    """

    status: int = 0
    is_whole: bool = False
    is_own: bool = False
    text: str = ""


@attrs.frozen(slots=True)
class CallerRecord:
    """A request as its caller saw it; times are Unix seconds."""

    attempt: str
    node: int
    kind: str
    idempotent: bool
    sent_at: float
    ended_at: float
    answer: ReceivedAnswer = ReceivedAnswer()


@attrs.frozen(slots=True)
class ServerRecord:
    """One line of a backend server's record: ``event`` is ``run`` where a request began to run."""

    at: float
    instance: str
    event: str
    attempt: str = ""
    detail: str = ""
