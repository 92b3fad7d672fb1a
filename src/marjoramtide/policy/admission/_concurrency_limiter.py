"""The interface of limits on concurrent requests."""

from abc import ABC, abstractmethod


class ConcurrencyLimiter(ABC):
    """Decides how many requests one backend server runs concurrently."""

    @property
    @abstractmethod
    def limit(self) -> int:
        """Return the current limit, at least 1."""

    @abstractmethod
    def fresh(self) -> "ConcurrencyLimiter":
        """Return a limiter with the same settings that has learned nothing."""

    @abstractmethod
    def observe(
        self, duration_ms: float, limit_used: bool, succeeded: bool, running: int = 1
    ) -> None:
        """Record an execution that ended.

        ``limit_used`` tells whether a higher limit would be used, ``running`` how many ran
        concurrently when it started, itself included.
        """
