"""The shared settings in force, as the other packages read them."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping
from typing import Any

from marjoramtide.settings._route_settings import RouteSettings
from marjoramtide.settings._workspaces import Workspaces


class SettingsView(ABC):
    """The tree in force on this node, resolved for its locality."""

    @property
    @abstractmethod
    def revision(self) -> int:
        """Return the revision in force; 0 before the first one."""

    @property
    @abstractmethod
    def node_values(self) -> Mapping[str, Any]:
        """Return the values that apply to the node as a whole, by key."""

    @property
    @abstractmethod
    def is_current(self) -> bool:
        """Tell whether this node may serve callers.

        False if it has been cut off from the store and every peer for longer than ``freshness_s``,
        or was frozen and has not caught up: it can't know what is in force.
        """

    @property
    @abstractmethod
    def workspaces(self) -> Workspaces:
        """Return the workspaces in force."""

    @property
    @abstractmethod
    def can_accept_keys(self) -> bool:
        """Tell whether a key in force here can't have been revoked ``revocation_s`` or longer
        ago.
        """

    @property
    @abstractmethod
    def can_reject_unknown_keys(self) -> bool:
        """Tell whether a key that isn't in force here is invalid, unless it was added just now."""

    @abstractmethod
    def service_for_host(self, host: str) -> str | None:
        """Return the service that a ``Host`` header selects, or ``None``."""

    @abstractmethod
    def route(self, service: str, path: str) -> RouteSettings:
        """Return the settings of the longest route of ``service`` that is a prefix of ``path``."""

    @abstractmethod
    def find(self, host: str, path: str) -> RouteSettings:
        """Return the settings of a request for ``host``; raises ``unknown-service``."""

    @abstractmethod
    def on_change(self, listener: Callable[[int], None]) -> None:
        """Call ``listener`` with each revision that comes into force."""
