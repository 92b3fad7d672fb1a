"""A request that a backend server has begun."""

import attrs


@attrs.frozen(slots=True)
class InFlightRequest:
    """What is kept of a request until it is known whether its backend server outlives it.

    ``fingerprint`` tells whether it is the same as another one, ``label`` is its method and target
    for logs, ``started`` in seconds of the monotonic clock.
    """

    fingerprint: int
    request_id: str
    label: str
    started_at: float

    def log_fields(self, now: float) -> dict[str, str | int]:
        """Return the fields by which the log names a run."""
        return {
            "fingerprint": f"{self.fingerprint:016x}",
            "request": self.request_id,
            "what": self.label,
            "ago_ms": round((now - self.started_at) * 1000),
        }


@attrs.frozen(slots=True)
class LostRequest:
    """A run that ended without an answer.

    ``broken`` where the backend server's side of the connection ended, rather than this node's
    patience or its caller's: a server that is heard of afterwards did not end by it.
    """

    run: InFlightRequest
    lost_at: float
    by_server: bool
