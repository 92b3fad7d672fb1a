"""The ways of a call that are compared."""

import attrs
from hdrh.histogram import HdrHistogram

from bench.load._tally import histogram

BODY_BYTES = 256
TIMEOUT_MS = 2000


@attrs.define(slots=True, eq=False)
class Way:
    """One way to one backend server for one kind of call, and what became of the calls.

    ``latency`` is in microseconds from the planned time of each call. ``nodes`` are the process
    ids of the nodes on the way.
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
        """Return the whole request as it goes onto the wire."""
        body = b"x" * BODY_BYTES if self.method == "POST" else b""
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        head = (
            f"{self.method} /?ms=0&bytes={BODY_BYTES} HTTP/1.1\r\nHost: {self.service}\r\n"
            f"X-Request-Id: {request_id}\r\nRequest-Timeout-Ms: {TIMEOUT_MS}\r\n{length}\r\n"
        )
        return head.encode() + body

    def record(self, latency_s: float, answered_well: bool) -> None:
        """Note the end of a call; only whole and own answers count for the latency."""
        if answered_well:
            self.latency.record_value(max(1, round(latency_s * 1e6)))
        else:
            self.failed += 1

    def percentile_ms(self, percent: float) -> float:
        """Return a percentile of the latency in milliseconds."""
        return self.latency.get_value_at_percentile(percent) / 1000
