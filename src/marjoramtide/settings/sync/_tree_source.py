"""Where in the store the tree in force lies, and in which form."""

from abc import ABC, abstractmethod

from marjoramtide.settings._envelope import Envelope
from marjoramtide.store import ObjectStore, StoredObject


class TreeSource(ABC):
    """Names the object that holds the tree, and reads it."""

    key: str
    """The key of the object."""

    may_be_absent: bool
    """Whether a fleet without any tree is a sound one, whose nodes know all there is to know."""

    is_writable: bool
    """Whether nodes write the object; else they only follow what another system writes there."""

    @abstractmethod
    async def read(self, store: ObjectStore, timeout: float) -> tuple[StoredObject | None, int]:
        """Return the object, and the store's version from which a watch goes on.

        Raises what the store does, ``store-unavailable`` after ``timeout`` seconds among it.
        """

    @abstractmethod
    def decode(self, stored: StoredObject) -> Envelope:
        """Return the revision that an object holds; raises ``bad-settings``."""
