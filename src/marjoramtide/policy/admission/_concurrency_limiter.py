"""The interface of limits on how many requests run at once."""

from abc import ABC, abstractmethod


class ConcurrencyLimiter(ABC):
    """Decides how many requests one backend server runs at once."""

    @property
    @abstractmethod
    def limit(self) -> int:
        """Return the limit at this moment, at least 1."""

    @abstractmethod
    def fresh(self) -> "ConcurrencyLimiter":
        """Return a limiter of the same settings that has learned nothing."""

    @abstractmethod
    def observe(self, duration_ms: float, pressed: bool, succeeded: bool, running: int = 1) -> None:
        """Learn from an execution that ended; ``pressed`` tells if the limit was being used.

        ``running`` is how many ran at once, itself included, on the mean of its begin and its end.
        """
