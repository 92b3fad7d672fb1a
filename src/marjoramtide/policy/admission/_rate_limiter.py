"""The interface of what limits how many requests a second a backend server is given."""

from abc import ABC, abstractmethod


class RateLimiter(ABC):
    """Tells when the next request may begin. Times are in seconds of the monotonic clock."""

    @abstractmethod
    def holds(self, now: float) -> bool:
        """Tell whether the gate limits anything now."""

    @abstractmethod
    def note_sent(self, now: float) -> None:
        """Count a request that begins now."""

    @abstractmethod
    def opens_at(self, now: float) -> float:
        """Return when the next request may begin."""

    @abstractmethod
    def wait_s(self, ahead: int, now: float) -> float:
        """Return after how many seconds a request may begin behind ``ahead`` others."""

    @abstractmethod
    def concurrency(self, service_ms: float, now: float) -> float:
        """Return how many run at once where as many begin as the gate lets, at least one.

        By Little's law, ``service_ms`` being how long one takes, 0 while that isn't known.
        """
