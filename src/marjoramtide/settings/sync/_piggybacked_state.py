"""State that nodes exchange together with the settings."""

from abc import ABC, abstractmethod
from typing import Any


class PiggybackedState(ABC):
    """State that a node must have before it serves, exchanged in pull requests and responses."""

    @abstractmethod
    async def read_store(self) -> None:
        """Read the state from the store; raises ``MarjoramtideError`` as the store does."""

    @abstractmethod
    def local_state(self) -> list[Any]:
        """Return this node's state in its serialized form."""

    @abstractmethod
    def merge_state(self, fields: list[Any], source: str) -> None:
        """Merge the state of another node; unreadable state is ignored."""


class NoPiggybackedState(PiggybackedState):
    """Used on a node that has no such state."""

    async def read_store(self) -> None:
        return None

    def local_state(self) -> list[Any]:
        return []

    def merge_state(self, fields: list[Any], source: str) -> None:
        return None
