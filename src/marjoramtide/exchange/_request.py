"""A request on its way to a backend server."""

import attrs

from marjoramtide.exchange._server_statement import ServerStatement

LABEL_CHARACTERS = 100


@attrs.frozen(slots=True)
class Request:
    """What the ingress node read from a caller, without the body.

    ``target`` is the path with its query as the caller sent it; ``headers`` are the end-to-end
    ones in their order. ``deadline`` is in seconds of this process's monotonic clock: between nodes
    only what remains of it travels. ``trace`` is a W3C ``traceparent``. ``request_id`` is what the
    caller calls this attempt, for logs and for telling its answer from others. Inside a class a
    lower ``rank`` goes first; an answer after ``goal``, on the same clock as the deadline and equal
    to it where none is known, is worth less to its caller. ``depth`` is 1 for a caller's request
    and one more for each call on the way that led to this one; ``parent`` is the id of the running
    request that made this call, empty where that isn't told. ``relayed`` where another node took it
    from its caller, and knows that it is here; ``statement`` is what that one has heard of the
    backend server here, ``None`` where it asks for nothing. ``workspace`` is whom it is for, empty
    where that isn't known; a call is for the workspace of the request that made it.
    """

    service: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    urgent: bool
    idempotent: bool
    deadline: float
    depth: int = 0
    idempotency_key: str = ""
    trace: str = ""
    attempt: int = 1
    request_id: str = ""
    rank: int = 0
    goal: float = float("inf")
    parent_run: str = ""
    relayed: bool = False
    statement: ServerStatement | None = None
    workspace: str = ""

    @property
    def label(self) -> str:
        """Return the method and the target, cut to what a log line bears."""
        return f"{self.method} {self.target}"[:LABEL_CHARACTERS]

    @property
    def is_call(self) -> bool:
        """Tell whether a running request has made this one, and waits for it."""
        return self.depth > 1
