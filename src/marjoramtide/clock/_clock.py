"""The interface of clocks."""

from abc import ABC, abstractmethod


class Clock(ABC):
    """A source of time in seconds."""

    @abstractmethod
    def monotonic(self) -> float:
        """Return monotonic seconds, for deadlines and ages."""

    @abstractmethod
    def wall(self) -> float:
        """Return Unix time in seconds, for values that other machines read."""

    @abstractmethod
    async def sleep(self, seconds: float) -> None:
        """Sleep for ``seconds`` of this clock's time."""
