"""Calls with a planned start time."""

import attrs


@attrs.frozen(slots=True)
class PlannedCall:
    """What to send and when.

    ``at_s`` is in seconds from the start of the run. ``label`` names the class in the tables.
    ``retries`` is the highest number of retries after a refusal, an error or an unknown outcome;
    calls that are not idempotent and have no ``key`` are retried only after a refusal. ``body_of``
    is the id of the call whose body this one sends; empty for its own.
    """

    at_s: float
    request_id: str
    service: str
    label: str
    timeout_ms: int
    method: str = "GET"
    urgent: bool = False
    answer_bytes: int = 256
    body_bytes: int = 0
    body_of: str = ""
    key: str = ""
    service_ms: float | None = None
    retries: int = 0
    retry_wait_ms: float = 0.0

    @property
    def idempotent(self) -> bool:
        return self.method == "GET"

    @property
    def target(self) -> str:
        service_time = "" if self.service_ms is None else f"&ms={self.service_ms:g}"
        return f"/{self.label}?bytes={self.answer_bytes}{service_time}"
