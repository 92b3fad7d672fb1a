"""The interface of the protocols that stores speak over HTTP."""

from abc import ABC, abstractmethod
from collections.abc import Mapping

import attrs

from marjoramtide.store._call import Call, StoreResponse
from marjoramtide.store._stored_object import StoredObject
from marjoramtide.store._watch_event import WatchEvent

# The prefix of a kind that has no objects.
NO_OBJECTS = "versions/"


@attrs.frozen(slots=True)
class ListPage:
    """One page of a list; ``after`` is the cursor of the next page, empty on the last one.

    ``unreadable`` counts entries that were skipped because another writer wrote them malformed.
    """

    objects: list[StoredObject]
    version: int
    after: str = ""
    unreadable: int = 0


@attrs.frozen(slots=True)
class WatchResponse:
    """The response to a long-polling watch; the next watch resumes from ``version``.

    ``unreadable`` counts changes that were skipped because another writer wrote them malformed.
    """

    events: list[WatchEvent]
    version: int
    unreadable: int = 0


class StoreProtocol(ABC):
    """Encodes calls and decodes responses, without any decision or state.

    Decoding raises ``KeyError``, ``TypeError`` or ``ValueError`` for a malformed response.
    """

    streams_watches: bool
    """Whether a watch streams one line for each change, or is a long poll with one response."""

    @abstractmethod
    def get(self, key: str) -> Call:
        """Return the call that reads an object."""

    @abstractmethod
    def list_page(self, prefix: str, after: str, *, allow_stale: bool = False) -> Call:
        """Return the call that lists objects whose keys start with ``prefix``.

        With ``allow_stale`` the response may be some seconds old, if the store supports that.
        """

    def current_version(self) -> Call:
        """Return the call that lists nothing, for the store's version that each list states."""
        return self.list_page(NO_OBJECTS, "")

    @abstractmethod
    def create(self, key: str, value: bytes) -> Call:
        """Return the call that creates an object."""

    @abstractmethod
    def update(self, key: str, value: bytes, version: int) -> Call:
        """Return the call that replaces an object if it has this version."""

    @abstractmethod
    def delete(self, key: str, version: int) -> Call:
        """Return the call that deletes an object if it has this version."""

    @abstractmethod
    def watch(self, prefix: str, since: int, wait_s: float) -> Call:
        """Return the call that waits for changes after version ``since``."""

    @abstractmethod
    def read_object(self, key: str, response: StoreResponse) -> StoredObject:
        """Decode the response to ``get``."""

    @abstractmethod
    def read_page(self, prefix: str, response: StoreResponse) -> ListPage:
        """Decode the response to ``list_page``."""

    @abstractmethod
    def read_written(self, key: str, value: bytes, response: StoreResponse) -> StoredObject:
        """Decode the response to a write that took effect."""

    @abstractmethod
    def read_event(self, prefix: str, line: bytes) -> WatchEvent:
        """Decode one line of a streaming watch."""

    @abstractmethod
    def read_events(self, prefix: str, body: bytes) -> WatchResponse:
        """Decode the response to a long-polling watch."""

    def epoch(self, headers: Mapping[str, str]) -> int:
        """Decode how often the store was restored from a copy; 0 if it doesn't report that.

        Raises ``ValueError`` if the value is not a number.
        """
        return 0

    @abstractmethod
    def is_definite_refusal(self, status: int, headers: Mapping[str, str]) -> bool:
        """Return whether a response of status 500 or above says that a write had no effect."""
