"""The interface of every entry of the schema."""

from abc import ABC, abstractmethod
from typing import Any

import attrs

from marjoramtide.settings._level import Level

EVERYWHERE = frozenset(Level) - {Level.WORKSPACE}
NOT_ON_ROUTES = EVERYWHERE - {Level.ROUTE}
NODE_WIDE = frozenset({Level.ROOT, Level.REGION, Level.DATA_CENTRE})
WORKSPACES = frozenset({Level.ROOT, Level.WORKSPACE})


@attrs.frozen(slots=True, kw_only=True)
class KeySpec(ABC):
    """What one key means, where it may stand and which values it takes."""

    name: str
    meaning: str
    group: str
    levels: frozenset[Level] = EVERYWHERE

    @property
    @abstractmethod
    def allowed(self) -> str:
        """Say in words which values are allowed."""

    @abstractmethod
    def accepts(self, value: Any) -> bool:
        """Tell whether ``value`` is allowed."""

    def shown(self, value: Any) -> str:
        """Return a value that isn't accepted as an error names it."""
        return repr(value)

    def normalise(self, value: Any) -> Any:
        """Return an accepted value in the type that the code reads."""
        return value
