"""One attempt of a call."""

import attrs

from bench.load._outcome import Outcome


@attrs.frozen(slots=True)
class Attempt:
    """The result of one request; ``elapsed_ms`` counts from when it was sent."""

    request_id: str
    outcome: Outcome
    elapsed_ms: float
    status: int = 0
    reason: str = ""
    retry_after_ms: float | None = None
    backend: str = ""
    replayed: bool = False
