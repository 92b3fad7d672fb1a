"""The interface through which the product reads time."""

from abc import ABC, abstractmethod


class Clock(ABC):
    """A source of time in seconds."""

    @abstractmethod
    def monotonic(self) -> float:
        """Return seconds that never run backwards, for deadlines and ages."""

    @abstractmethod
    def wall(self) -> float:
        """Return seconds since the Unix epoch, for what other machines read."""

    @abstractmethod
    async def sleep(self, seconds: float) -> None:
        """Wait for ``seconds`` of this clock's time."""
