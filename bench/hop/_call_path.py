"""Paths of calls to compare."""

import attrs
from hdrh.histogram import HdrHistogram

from bench.load._tally import histogram

BODY_BYTES = 256
TIMEOUT_MS = 2000


@attrs.define(slots=True, eq=False)
class CallPath:
    """A path to a backend server for one HTTP method, with the results of its calls.

    ``latency`` is in microseconds from the planned time of each call. ``nodes`` are the process ids
    of the nodes on the path.
    """

    name: str
    method: str
    service: str
    address: str
    nodes: tuple[int, ...]
    latency: HdrHistogram = attrs.field(factory=histogram)
    failed: int = 0

    @property
    def label(self) -> str:
        return f"{self.name} {self.method}"

    def encode(self, request_id: str) -> bytes:
        """Return the bytes of the request."""
        body = b"x" * BODY_BYTES if self.method == "POST" else b""
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        head = (
            f"{self.method} /?ms=0&bytes={BODY_BYTES} HTTP/1.1\r\nHost: {self.service}\r\n"
            f"X-Request-Id: {request_id}\r\nRequest-Timeout-Ms: {TIMEOUT_MS}\r\n{length}\r\n"
        )
        return head.encode() + body

    def record(self, latency_s: float, is_valid: bool) -> None:
        """Record the result of a call; only valid responses count for the latency."""
        if is_valid:
            self.latency.record_value(max(1, round(latency_s * 1e6)))
        else:
            self.failed += 1

    def percentile_ms(self, percent: float) -> float:
        """Return a percentile of the latency in milliseconds."""
        return self.latency.get_value_at_percentile(percent) / 1000
