"""The members, as the other parts of a node read them."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from marjoramtide.membership._member import Member
from marjoramtide.membership._member_state import MemberState


class Directory(ABC):
    """The members this node knows, itself included."""

    @property
    @abstractmethod
    def self_member(self) -> Member:
        """Return this node's own record."""

    @abstractmethod
    def members(self) -> list[Member]:
        """Return all members that are not known to be dead."""

    @abstractmethod
    def members_of(self, service: str) -> list[Member]:
        """Return the members beside backend servers of ``service`` that may take work."""

    @abstractmethod
    def find(self, node: str) -> Member | None:
        """Return the member with this identity."""

    @abstractmethod
    def set_state(self, state: MemberState) -> None:
        """Change this node's own state and let the others know."""

    @abstractmethod
    def set_settings(self, revision: int, digest: str) -> None:
        """Tell the others which settings this node has in force."""

    @abstractmethod
    def report_failure(self, node: str) -> None:
        """Take a passive sign of failure (a refused connection) as a reason to probe now."""

    @abstractmethod
    def on_change(self, listener: Callable[[Member], None]) -> None:
        """Call ``listener`` with each member whose record changed."""
