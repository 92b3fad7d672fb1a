"""What a node learns together with the settings."""

from abc import ABC, abstractmethod
from typing import Any


class PiggybackedState(ABC):
    """News that a node must have before it serves, and that travels with answers on settings."""

    @abstractmethod
    async def read_store(self) -> None:
        """Read the news in the store; raises ``MarjoramtideError`` as the store does."""

    @abstractmethod
    def local_state(self) -> list[Any]:
        """Return the news as it travels."""

    @abstractmethod
    def merge_state(self, fields: list[Any], source: str) -> None:
        """Take in the news of another node; what can't be read changes nothing."""


class NoPiggybackedState(PiggybackedState):
    """For a node that has none to learn."""

    async def read_store(self) -> None:
        return None

    def local_state(self) -> list[Any]:
        return []

    def merge_state(self, fields: list[Any], source: str) -> None:
        return None
