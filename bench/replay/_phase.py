"""Phases of a trace with a constant arrival rate."""

import attrs


@attrs.frozen(slots=True)
class Phase:
    """Arrivals of one class of calls to one service, as a Poisson process.

    Times are in seconds of the trace, ``rate`` in calls a second. Bookings are non-idempotent and
    have an idempotency key unless ``keyed`` is false. ``service_ms`` replaces the service's median
    service time.
    """

    service: str
    label: str
    rate: float
    from_s: float = 0.0
    until_s: float = float("inf")
    booking: bool = False
    urgent: bool = False
    keyed: bool = True
    timeout_ms: int = 2000
    answer_bytes: int = 2048
    body_bytes: int = 0
    service_ms: float | None = None
    retries: int = 0
    retry_wait_ms: float = 0.0
