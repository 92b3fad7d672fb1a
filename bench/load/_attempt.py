"""One try of a call."""

import attrs

from bench.load._outcome import Outcome


@attrs.frozen(slots=True)
class Attempt:
    """What one request brought; ``elapsed_ms`` counts from its own sending."""

    request_id: str
    outcome: Outcome
    elapsed_ms: float
    status: int = 0
    reason: str = ""
    retry_after_ms: float | None = None
    backend: str = ""
    replayed: bool = False
