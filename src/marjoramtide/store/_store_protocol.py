"""The interface to what a store speaks over HTTP."""

from abc import ABC, abstractmethod
from collections.abc import Mapping

import attrs

from marjoramtide.store._call import Call, StoreResponse
from marjoramtide.store._stored_object import StoredObject
from marjoramtide.store._watch_event import WatchEvent


@attrs.frozen(slots=True)
class Page:
    """A part of a list; ``after`` is where the next one goes on, empty at the end.

    ``unreadable`` counts entries that were left out, since another writer has spoiled them.
    """

    objects: list[StoredObject]
    version: int
    after: str = ""
    unreadable: int = 0


@attrs.frozen(slots=True)
class Changes:
    """What one watch that doesn't stream has brought; the next one goes on from ``version``.

    ``unreadable`` counts changes that were left out, since another writer has spoiled them.
    """

    events: list[WatchEvent]
    version: int
    unreadable: int = 0


class StoreProtocol(ABC):
    """Forms calls and reads answers; it decides nothing and holds no state.

    Reading raises ``KeyError``, ``TypeError`` or ``ValueError`` where an answer is not of the form
    that the store gives.
    """

    streams_watches: bool
    """Whether a watch brings one line for each change, or one answer with what has changed."""

    @abstractmethod
    def get(self, key: str) -> Call:
        """Form the call for one object."""

    @abstractmethod
    def list_page(self, prefix: str, after: str, *, may_be_old: bool = False) -> Call:
        """Form the call for the objects whose keys begin with ``prefix``.

        With ``may_be_old`` the answer may be as of some seconds ago, where the store offers that.
        """

    @abstractmethod
    def create(self, key: str, value: bytes) -> Call:
        """Form the call that writes a new object."""

    @abstractmethod
    def update(self, key: str, value: bytes, version: int) -> Call:
        """Form the call that replaces an object of this version."""

    @abstractmethod
    def delete(self, key: str, version: int) -> Call:
        """Form the call that deletes an object of this version."""

    @abstractmethod
    def watch(self, prefix: str, since: int, wait_s: float) -> Call:
        """Form the call that waits for changes after version ``since``."""

    @abstractmethod
    def read_object(self, key: str, answer: StoreResponse) -> StoredObject:
        """Read the answer to ``get``."""

    @abstractmethod
    def read_page(self, prefix: str, answer: StoreResponse) -> Page:
        """Read the answer to ``list_page``."""

    @abstractmethod
    def read_written(self, key: str, value: bytes, answer: StoreResponse) -> StoredObject:
        """Read the answer to a write that took effect."""

    @abstractmethod
    def read_event(self, prefix: str, line: bytes) -> WatchEvent:
        """Read one line of a watch that streams."""

    @abstractmethod
    def read_events(self, prefix: str, body: bytes) -> Changes:
        """Read the answer to a watch that doesn't stream."""

    def epoch(self, headers: Mapping[str, str]) -> int:
        """Read how often the store has come back from a copy; 0 where it doesn't tell.

        Raises ``ValueError`` where it tells something else than a number.
        """
        return 0

    @abstractmethod
    def certainly_refused(self, status: int, headers: Mapping[str, str]) -> bool:
        """Tell whether a status of 500 or above says that a write had no effect."""
