"""Where in the store the tree in force is kept, and in which format."""

from abc import ABC, abstractmethod

from marjoramtide.settings._envelope import Envelope
from marjoramtide.store import ObjectStore, StoredObject


class TreeSource(ABC):
    """Names the store object that holds the tree, and decodes it."""

    key: str
    """The key of the object."""

    may_be_absent: bool
    """Whether a fleet without a tree is valid, so that its nodes are current without one."""

    is_writable: bool
    """Whether nodes write the object; otherwise another system does, and they only follow it."""

    @abstractmethod
    async def read(self, store: ObjectStore, timeout: float) -> tuple[StoredObject | None, int]:
        """Return the object, and the store version from which to watch for changes.

        Raises the store's errors, among them ``store-unavailable`` after ``timeout`` seconds.
        """

    @abstractmethod
    def decode(self, stored: StoredObject) -> Envelope:
        """Return the revision in an object; raises ``bad-settings``."""
