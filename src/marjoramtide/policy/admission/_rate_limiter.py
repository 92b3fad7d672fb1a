"""The interface of limits on the requests per second of a backend server."""

from abc import ABC, abstractmethod


class RateLimiter(ABC):
    """Tells when the next request may start. Times are in seconds of the monotonic clock."""

    @abstractmethod
    def is_active(self, now: float) -> bool:
        """Tell whether the limiter limits anything now."""

    @abstractmethod
    def record_sent(self, now: float) -> None:
        """Count a request that starts now."""

    @abstractmethod
    def next_start_at(self, now: float) -> float:
        """Return when the next request may start."""

    @abstractmethod
    def wait_s(self, ahead: int, now: float) -> float:
        """Return after how many seconds a request may start behind ``ahead`` others."""

    @abstractmethod
    def concurrency(self, service_ms: float, now: float) -> float:
        """Return how many requests run concurrently at the limited rate, at least one.

        By Little's law, where ``service_ms`` is the duration of one, 0 if unknown.
        """
