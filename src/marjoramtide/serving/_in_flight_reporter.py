"""Interface for reporting in-flight requests that no other node knows of."""

from abc import ABC, abstractmethod


class InFlightReporter(ABC):
    """Receives the requests that this node accepted from its own callers and executes itself."""

    @abstractmethod
    async def request_started(self, ticket: int, fingerprint: int) -> None:
        """Report a request; it is sent to the backend server after this returns."""

    @abstractmethod
    def request_finished(self, ticket: int) -> None:
        """Report that a request has ended, whether its start was reported or not."""


class NullInFlightReporter(InFlightReporter):
    """Discards all reports."""

    async def request_started(self, ticket: int, fingerprint: int) -> None:
        pass

    def request_finished(self, ticket: int) -> None:
        pass
