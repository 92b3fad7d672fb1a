"""All limits on the requests per second of a backend server."""

import attrs

from marjoramtide.policy.admission._cold_rate_limiter import ColdRateLimiter
from marjoramtide.policy.admission._rate_limiter import RateLimiter
from marjoramtide.policy.admission._requested_rate_limiter import RequestedRateLimiter
from marjoramtide.policy.admission._sent_requests import SentRequests


@attrs.define(slots=True, eq=False, repr=False)
class ServerRateLimiter(RateLimiter):
    """Combines the limit of a cold server with the limit that the server has requested.

    Both count the same requests, so the lower of the two applies. ``started_at`` is when the node
    started, in seconds of the monotonic clock.
    """

    started_at: float
    sent: SentRequests = attrs.Factory(SentRequests)
    cold: ColdRateLimiter = attrs.field(init=False)
    requested: RequestedRateLimiter = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.cold = ColdRateLimiter(self.started_at, self.sent)
        self.requested = RequestedRateLimiter(self.sent)

    def server_started(self, now: float) -> None:
        """Reset for a new server process."""
        self.sent.clear()
        self.cold.server_started(now)
        self.requested.server_started()

    def is_active(self, now: float) -> bool:
        return self.requested.is_active(now) or self.cold.is_active(now)

    def allows(self, now: float) -> bool:
        """Tell whether a request may start now."""
        return not self.is_active(now) or self.next_start_at(now) <= now

    def record_sent(self, now: float) -> None:
        self.cold.record_sent(now)
        self.requested.record_sent(now)
        self.sent.add(now)

    def next_start_at(self, now: float) -> float:
        return max(self.cold.next_start_at(now), self.requested.next_start_at(now))

    def wait_s(self, ahead: int, now: float) -> float:
        return max(self.cold.wait_s(ahead, now), self.requested.wait_s(ahead, now))

    def concurrency(self, service_ms: float, now: float) -> float:
        limits = self.cold.concurrency(service_ms, now), self.requested.concurrency(service_ms, now)
        return min(limits)
