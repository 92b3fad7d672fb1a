"""The interface of the object store."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Callable

from marjoramtide.store._listing import Listing
from marjoramtide.store._store_protocol import NO_OBJECTS
from marjoramtide.store._stored_object import StoredObject
from marjoramtide.store._watch_event import WatchEvent


class ObjectStore(ABC):
    """Objects with versions, conditional updates and watches.

    Every method raises ``MarjoramtideError``: ``store-unavailable`` if the call certainly had no
    effect, ``store-throttled`` if the store or the client-side rate limit rejected it (no effect
    either), ``store-ambiguous`` if a write may or may not have taken effect, ``version-conflict``
    if the condition of a write did not hold, ``not-found`` if there is no such object. ``timeout``
    is in seconds.

    A store may be restored from a copy that is some seconds old, which starts a new *epoch*: later
    writes are lost. Versions include their epoch, so versions of two epochs never compare equal; a
    write conditional on a version of an earlier epoch raises ``version-conflict``, a watch from one
    ``not-found``.
    """

    @property
    def epoch(self) -> int:
        """Return the newest known epoch; 0 if the store reports none."""
        return 0

    def observe_epoch(self, epoch: int) -> None:
        """Record an epoch that another node reported."""
        return None

    def on_epoch_change(self, listener: Callable[[int], None]) -> None:
        """Call ``listener`` with each epoch after the first known one."""
        return None

    @abstractmethod
    async def get(self, key: str, *, timeout: float = 2.0) -> StoredObject:
        """Return the object under ``key``."""

    @abstractmethod
    async def list(self, prefix: str, *, timeout: float = 2.0) -> Listing:
        """Return all objects whose keys start with ``prefix``, sorted by key.

        A watch resumes from the listing's ``version``.
        """

    async def list_allow_stale(self, prefix: str, *, timeout: float = 2.0) -> Listing:
        """Return the same as ``list``, possibly as of some seconds ago.

        Cheaper if the store supports it; only for callers that can detect what is missing.
        """
        return await self.list(prefix, timeout=timeout)

    async def current_version(self, *, timeout: float = 2.0) -> int:
        """Return the store's present version, which increases with each change of any object.

        The call is sent even if the store has not responded to earlier ones.
        """
        return (await self.list(NO_OBJECTS, timeout=timeout)).version

    @abstractmethod
    async def create(self, key: str, value: bytes, *, timeout: float = 2.0) -> StoredObject:
        """Create an object; raises ``version-conflict`` if the key exists."""

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
        """Yield changes under ``prefix`` after version ``since``, for ``wait`` seconds.

        The iterator raises ``not-found`` if the store no longer has the history after ``since``;
        the caller must then list the objects again.
        """

    def set_max_retry_pause(self, seconds: float) -> None:
        """Limit the pause between two probes of a store that doesn't respond."""
        return None

    def time(self, wall: float) -> float | None:
        """Convert ``wall``, this node's Unix time, to the store's time.

        ``None`` until a response of the store has shown its time. All nodes thus share one clock,
        however wrong their own are. A store without a clock is assumed to have the node's time.
        """
        return wall

    @abstractmethod
    async def close(self) -> None:
        """Close the connections to the store."""
