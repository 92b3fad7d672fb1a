"""Who is told of runs that no other node knows of."""

from abc import ABC, abstractmethod


class InFlightReporter(ABC):
    """Told of requests that this node took from its own callers and serves itself."""

    @abstractmethod
    async def request_started(self, ticket: int, fingerprint: int) -> None:
        """Note a run that is about to begin; the run waits until this returns."""

    @abstractmethod
    def request_finished(self, ticket: int) -> None:
        """Note that a run is over, whether it was told of or not."""


class NullInFlightReporter(InFlightReporter):
    """Tells nobody."""

    async def request_started(self, ticket: int, fingerprint: int) -> None:
        pass

    def request_finished(self, ticket: int) -> None:
        pass
