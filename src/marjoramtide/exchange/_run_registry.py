"""The interface for looking up the running requests that made nested calls."""

from abc import ABC, abstractmethod

from marjoramtide.exchange._request import Request


class RunRegistry(ABC):
    """Finds running requests by run ids that only the backend server running them knows."""

    @abstractmethod
    def find(self, run: str) -> Request | None:
        """Return the request that is running with this id."""

    @abstractmethod
    def may_have_run(self, run: str) -> bool:
        """Return whether an unknown run may have had this id, or one that just ended."""

    @abstractmethod
    def record_refused_call(self, run: str) -> None:
        """Record that a nested call of a run was refused for lack of capacity."""


class EmptyRunRegistry(RunRegistry):
    """Registry of a node whose backend server makes no nested calls."""

    def find(self, run: str) -> Request | None:
        return None

    def may_have_run(self, run: str) -> bool:
        return False

    def record_refused_call(self, run: str) -> None:
        return None
