"""Records of requests that a backend server may be executing."""

import attrs


@attrs.frozen(slots=True)
class InFlightRequest:
    """A request that has been sent; kept until it is known whether it crashed its server.

    Equal requests have equal fingerprints. ``label`` is the method and target for logs,
    ``started_at`` is in seconds of the monotonic clock.
    """

    fingerprint: int
    request_id: str
    label: str
    started_at: float

    def log_fields(self, now: float) -> dict[str, str | int]:
        """Return the fields that describe the request in a log line."""
        return {
            "fingerprint": f"{self.fingerprint:016x}",
            "request": self.request_id,
            "what": self.label,
            "ago_ms": round((now - self.started_at) * 1000),
        }


@attrs.frozen(slots=True)
class LostRequest:
    """A request that ended without a response.

    ``by_server`` is true if the connection was closed by the server, and false after a timeout or
    a cancellation on this side. If the server responds to something that was sent after such a
    loss, the request did not crash it.
    """

    request: InFlightRequest
    lost_at: float
    by_server: bool
