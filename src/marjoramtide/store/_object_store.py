"""The interface to the platform's store."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Callable

from marjoramtide.store._listing import Listing
from marjoramtide.store._stored_object import StoredObject
from marjoramtide.store._watch_event import WatchEvent


class ObjectStore(ABC):
    """Objects with versions, conditional updates and watches.

    Every method raises ``MarjoramtideError``: ``store-unavailable`` where the call certainly had no
    effect, ``store-throttled`` where the store or the caller's own budget refused it (no effect
    either), ``store-ambiguous`` where a write may or may not have taken effect,
    ``version-conflict`` where the condition of a write did not hold, ``not-found`` where there is
    no such object. ``timeout`` is in seconds.

    A store may come back from a copy that is some seconds old, in a new *epoch*: what was written
    since is gone. Versions hold their epoch, so those of two epochs are never taken for each other;
    a write under a version of an earlier one raises ``version-conflict``, a watch ``not-found``.
    """

    @property
    def epoch(self) -> int:
        """Return the newest epoch that this node has heard of, 0 in a store that tells none."""
        return 0

    def observe_epoch(self, epoch: int) -> None:
        """Take note of an epoch that another node has told of."""
        return None

    def on_epoch_change(self, listener: Callable[[int], None]) -> None:
        """Call ``listener`` with each epoch that follows the first one heard of."""
        return None

    @abstractmethod
    async def get(self, key: str, *, timeout: float = 2.0) -> StoredObject:
        """Return the object under ``key``."""

    @abstractmethod
    async def list(self, prefix: str, *, timeout: float = 2.0) -> Listing:
        """Return all objects whose keys begin with ``prefix``, in the order of their keys.

        The listing's ``version`` is where a watch goes on.
        """

    async def list_allow_stale(self, prefix: str, *, timeout: float = 2.0) -> Listing:
        """Return what ``list`` does, perhaps as it was some seconds ago.

        Cheaper, where the store offers that; only for readers who can tell what is missing.
        """
        return await self.list(prefix, timeout=timeout)

    @abstractmethod
    async def create(self, key: str, value: bytes, *, timeout: float = 2.0) -> StoredObject:
        """Write a new object, or raise ``version-conflict`` where the key is taken."""

    @abstractmethod
    async def update(
        self, key: str, value: bytes, version: int, *, timeout: float = 2.0
    ) -> StoredObject:
        """Replace the object if it still has ``version``."""

    @abstractmethod
    async def delete(self, key: str, version: int, *, timeout: float = 2.0) -> None:
        """Delete the object if it still has ``version``."""

    @abstractmethod
    def watch(self, prefix: str, since: int, *, wait: float = 30.0) -> AsyncIterator[WatchEvent]:
        """Yield changes under ``prefix`` after version ``since``; ends when ``wait`` seconds pass.

        The iterator raises ``not-found`` where the store no longer has the history after ``since``
        (a gap): the reader lists anew.
        """

    def set_max_retry_pause(self, seconds: float) -> None:
        """Leave a store that doesn't answer alone for no longer than that between two calls."""
        return None

    def time(self, wall: float) -> float | None:
        """Return the store's time where this node's is ``wall``, both in seconds since the epoch.

        ``None`` while the store has not told it. Every node reads the same clock through it,
        however wrong its own is. A store that tells no time is taken to have the node's.
        """
        return wall

    @abstractmethod
    async def close(self) -> None:
        """Close the connections to the store."""
