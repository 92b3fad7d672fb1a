"""The interface through which other parts of a node use the membership."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from marjoramtide.membership._member import Member
from marjoramtide.membership._member_state import MemberState


class Directory(ABC):
    """The members known to this node, including itself."""

    @property
    @abstractmethod
    def self_member(self) -> Member:
        """Return this node's own record."""

    @abstractmethod
    def members(self) -> list[Member]:
        """Return all members that are neither dead nor left."""

    @abstractmethod
    def members_of(self, service: str) -> list[Member]:
        """Return the members beside backend servers of ``service`` that accept requests."""

    @abstractmethod
    def find(self, node: str) -> Member | None:
        """Return the member with this identity, or ``None``."""

    @abstractmethod
    def set_state(self, state: MemberState) -> None:
        """Change this node's own state and gossip it."""

    @abstractmethod
    def set_settings(self, revision: int, digest: str) -> None:
        """Gossip which settings this node has in force."""

    @abstractmethod
    def report_failure(self, node: str) -> None:
        """Suspect a member locally after a failure (a refused connection) and probe it now."""

    @abstractmethod
    def on_change(self, listener: Callable[[Member], None]) -> None:
        """Call ``listener`` with each member whose record changes."""
