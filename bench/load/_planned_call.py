"""A call that is to be made at a time fixed ahead."""

import attrs


@attrs.frozen(slots=True)
class PlannedCall:
    """What to send and when.

    ``at_s`` is in seconds from the start of the run. ``label`` names the class in the tables.
    ``retries`` is how often an impatient caller tries again after a refusal or an unknown outcome;
    only idempotent calls and calls with a ``key`` are ever tried again. ``body_of`` is the id of
    the call whose body this one carries, empty where it has one of its own.
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
        own = "" if self.service_ms is None else f"&ms={self.service_ms:g}"
        return f"/{self.label}?bytes={self.answer_bytes}{own}"
