"""A request on its way to a backend server."""

import attrs


@attrs.frozen(slots=True)
class Request:
    """What the ingress node read from a caller, without the body.

    ``target`` is the path with its query as the caller sent it; ``headers`` are the end-to-end
    ones in their order. ``deadline`` is in seconds of this process's monotonic clock: between nodes
    only what remains of it travels. ``trace`` is a W3C ``traceparent``.
    """

    service: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    urgent: bool
    idempotent: bool
    deadline: float
    depth: int = 0
    key: str = ""
    trace: str = ""
    attempt: int = 1
