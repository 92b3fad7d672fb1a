"""What a backend server runs, as far as the calls that it makes are concerned."""

from abc import ABC, abstractmethod

from marjoramtide.exchange._request import Request


class RunRegistry(ABC):
    """Finds running requests by identities that only whoever runs them is told."""

    @abstractmethod
    def find(self, run: str) -> Request | None:
        """Return the request that runs under an identity."""

    @abstractmethod
    def may_have_run(self, run: str) -> bool:
        """Tell whether a run may have been there that isn't known, or has just ended."""

    @abstractmethod
    def record_refused_call(self, run: str) -> None:
        """Note that a call of a run was refused for want of room."""


class EmptyRunRegistry(RunRegistry):
    """For a node whose backend server makes no calls."""

    def find(self, run: str) -> Request | None:
        return None

    def may_have_run(self, run: str) -> bool:
        return False

    def record_refused_call(self, run: str) -> None:
        return None
