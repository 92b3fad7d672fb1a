"""Who is told of runs that no other node knows of."""

from abc import ABC, abstractmethod


class RunReporter(ABC):
    """Told of requests that this node took from its own callers and serves itself."""

    @abstractmethod
    async def began(self, ticket: int, fingerprint: int) -> None:
        """Note a run that is about to begin; the run waits until this returns."""

    @abstractmethod
    def over(self, ticket: int) -> None:
        """Note that a run is over, whether it was told of or not."""


class NoReporter(RunReporter):
    """Tells nobody."""

    async def began(self, ticket: int, fingerprint: int) -> None:
        pass

    def over(self, ticket: int) -> None:
        pass
