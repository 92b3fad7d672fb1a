"""The objects, their versions and the history of changes."""

import asyncio
import itertools
from collections import Counter, deque

import attrs


@attrs.frozen(slots=True)
class Record:
    """One version of one object; ``value`` is ``None`` where it was deleted."""

    key: str
    value: bytes | None
    version: int


@attrs.frozen(slots=True)
class StoreCopy:
    """All objects at one version."""

    version: int
    objects: dict[str, Record]


class StoreState:
    """All objects, in memory, under one counter of versions.

    The history of changes is bounded for each collection (the first segment of a key), as where
    each kind of object has a log of its own: claims do not push settings out.
    """

    def __init__(self, history: int = 1000) -> None:
        self.objects: dict[str, Record] = {}
        self.previous: dict[str, Record | None] = {}
        self.version = 0
        self.history = history
        self.logs: dict[str, deque[Record]] = {}
        self.trimmed: Counter[str] = Counter()
        self.epoch = 0
        self.changed = asyncio.Event()

    def copy(self) -> "StoreCopy":
        """Return a copy, as it may be put back later."""
        return StoreCopy(self.version, dict(self.objects))

    def restore(self, held: "StoreCopy") -> None:
        """Come back from a copy: what was written since is gone, and versions count on from it."""
        self.version = held.version
        self.objects = dict(held.objects)
        self.previous = {}
        for log in self.logs.values():
            while log and log[-1].version > held.version:
                log.pop()
        self.epoch += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key: str, value: bytes, if_version: int) -> Record | None:
        """Write if the object has ``if_version`` (0: is absent); ``None`` where it has not."""
        current = self.objects.get(key)
        if (current.version if current else 0) != if_version:
            return None
        return self._append(key, value)

    def remove(self, key: str, if_version: int) -> Record | None:
        """Delete if the object has ``if_version``; ``None`` where it has not."""
        current = self.objects.get(key)
        if current is None or current.version != if_version:
            return None
        return self._append(key, None)

    def read(self, key: str, stale: bool = False) -> Record | None:
        """Return the object, or with ``stale`` the version before it."""
        if stale and key in self.previous:
            return self.previous[key]
        return self.objects.get(key)

    def select(self, prefix: str, stale: bool = False) -> list[Record]:
        """Return the objects under ``prefix`` in the order of their keys."""
        keys = sorted(key for key in self.objects | self.previous if key.startswith(prefix))
        records = (self.read(key, stale) for key in keys)
        return [record for record in records if record is not None]

    def has_gap(self, prefix: str, since: int) -> bool:
        """Tell whether changes under ``prefix`` after ``since`` may have left the history."""
        return any(
            version > since
            for name, version in self.trimmed.items()
            if prefix.startswith(f"{name}/") or name.startswith(prefix)
        )

    def changes(self, prefix: str, since: int) -> list[Record]:
        """Return the changes under ``prefix`` after ``since`` in order."""
        found = (
            record
            for record in itertools.chain.from_iterable(self.logs.values())
            if record.version > since and record.key.startswith(prefix)
        )
        return sorted(found, key=lambda record: record.version)

    def _append(self, key: str, value: bytes | None) -> Record:
        self.version += 1
        record = Record(key, value, self.version)
        self.previous[key] = self.objects.pop(key, None)
        if value is not None:
            self.objects[key] = record
        collection = key.split("/", 1)[0]
        log = self.logs.setdefault(collection, deque())
        log.append(record)
        if len(log) > self.history:
            self.trimmed[collection] = log.popleft().version
        self.changed.set()
        self.changed = asyncio.Event()
        return record
