"""A request on its way to a backend server."""

import attrs

from marjoramtide.exchange._server_statement import ServerStatement

MAX_LABEL_CHARACTERS = 100


@attrs.frozen(slots=True)
class Request:
    """A request as the ingress node read it from a caller, without the body.

    ``target`` is the path and query as the caller sent them; ``headers`` are the end-to-end headers
    in their order. ``deadline`` is in seconds of this process's monotonic clock; nodes send each
    other the remaining time. ``trace`` is a W3C ``traceparent``. ``request_id`` is the caller's id
    of this attempt, for logs and for matching responses.

    Within a priority class a lower ``rank`` is served first. ``goal`` is the latency target on the
    same clock as the deadline, infinite if there is none: a later response is worth less to the
    caller.

    ``depth`` is 1 for a caller's request, and one more for each level of nested calls.
    ``parent_run`` is the id of the running request that made this call, empty if unknown.
    ``relayed`` is true if another node received the request from its caller and knows that it is
    here. ``statement`` is that node's last known statement of the backend server here, ``None`` if
    there is none. ``workspace`` is the name of the caller's workspace, empty if unknown; a nested
    call has the workspace of the request that made it.
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
        """Return the method and the target, truncated for log lines."""
        return f"{self.method} {self.target}"[:MAX_LABEL_CHARACTERS]

    @property
    def is_call(self) -> bool:
        """Return whether this is a nested call, which a running request waits for."""
        return self.depth > 1
