"""The interface of all entries of the schema."""

from abc import ABC, abstractmethod
from typing import Any

import attrs

from marjoramtide.settings._level import Level

ROUTING_LEVELS = frozenset(Level) - {Level.WORKSPACE}
LEVELS_ABOVE_ROUTE = ROUTING_LEVELS - {Level.ROUTE}
NODE_LEVELS = frozenset({Level.ROOT, Level.REGION, Level.DATA_CENTRE})
WORKSPACE_LEVELS = frozenset({Level.ROOT, Level.WORKSPACE})


@attrs.frozen(slots=True, kw_only=True)
class KeySpec(ABC):
    """The meaning of a key, the levels on which it can be set, and its valid values."""

    name: str
    meaning: str
    group: str
    levels: frozenset[Level] = ROUTING_LEVELS

    @property
    @abstractmethod
    def allowed(self) -> str:
        """Describe the valid values."""

    @abstractmethod
    def accepts(self, value: Any) -> bool:
        """Tell whether ``value`` is valid."""

    def describe_value(self, value: Any) -> str:
        """Return ``value`` as error messages and edits show it."""
        return repr(value)

    def normalise(self, value: Any) -> Any:
        """Convert a valid value to the type that the code uses."""
        return value
