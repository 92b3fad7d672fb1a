"""All that limits how many requests a second a backend server is given."""

import attrs

from marjoramtide.policy.admission._cold_rate_limiter import ColdRateLimiter
from marjoramtide.policy.admission._rate_limiter import RateLimiter
from marjoramtide.policy.admission._requested_rate_limiter import RequestedRateLimiter
from marjoramtide.policy.admission._sent_requests import SentRequests


@attrs.define(slots=True, eq=False, repr=False)
class ServerRateLimiter(RateLimiter):
    """A gate for what a server bears while it is cold, and one for the limit that it names.

    Both count the same requests, so that one that is cold and names a limit gets the lesser of the
    two. ``began_at`` is when the node began, in seconds of the monotonic clock.
    """

    began_at: float
    sent: SentRequests = attrs.Factory(SentRequests)
    cold: ColdRateLimiter = attrs.field(init=False)
    named: RequestedRateLimiter = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.cold = ColdRateLimiter(self.began_at, self.sent)
        self.named = RequestedRateLimiter(self.sent)

    def server_started(self, now: float) -> None:
        """Begin with another start of the server."""
        self.sent.clear()
        self.cold.server_started(now)
        self.named.server_started()

    def holds(self, now: float) -> bool:
        return self.named.holds(now) or self.cold.holds(now)

    def allows(self, now: float) -> bool:
        """Tell whether a request may begin now."""
        return not self.holds(now) or self.opens_at(now) <= now

    def note_sent(self, now: float) -> None:
        self.cold.note_sent(now)
        self.named.note_sent(now)
        self.sent.note(now)

    def opens_at(self, now: float) -> float:
        return max(self.cold.opens_at(now), self.named.opens_at(now))

    def wait_s(self, ahead: int, now: float) -> float:
        return max(self.cold.wait_s(ahead, now), self.named.wait_s(ahead, now))

    def concurrency(self, service_ms: float, now: float) -> float:
        borne = self.cold.concurrency(service_ms, now), self.named.concurrency(service_ms, now)
        return min(borne)
