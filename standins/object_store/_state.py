"""Objects of the store, their versions and the change history."""

import asyncio
import itertools
from collections import Counter, deque

import attrs


@attrs.frozen(slots=True)
class Record:
    """One version of an object; ``value`` is ``None`` if this version deleted it."""

    key: str
    value: bytes | None
    version: int


@attrs.frozen(slots=True)
class StoreCopy:
    """All objects at one version."""

    version: int
    objects: dict[str, Record]


class StoreState:
    """All objects in memory, with one version counter for the whole store.

    The change history is bounded per collection (the first segment of a key), as in a store that
    keeps one log for each kind of object, so that claims don't evict changes of settings.
    """

    def __init__(self, history: int = 1000) -> None:
        self.objects: dict[str, Record] = {}
        self.previous: dict[str, Record | None] = {}
        self.version = 0
        self.history = history
        self.change_logs: dict[str, deque[Record]] = {}
        self.trimmed_versions: Counter[str] = Counter()
        self.epoch = 0
        self.changed = asyncio.Event()

    def copy(self) -> "StoreCopy":
        """Return a copy of all objects for ``restore``."""
        return StoreCopy(self.version, dict(self.objects))

    def restore(self, saved: "StoreCopy") -> None:
        """Restore a copy: later writes are lost and the version counter goes back."""
        self.version = saved.version
        self.objects = dict(saved.objects)
        self.previous = {}
        for log in self.change_logs.values():
            while log and log[-1].version > saved.version:
                log.pop()
        self.epoch += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key: str, value: bytes, if_version: int) -> Record | None:
        """Write if the object is at ``if_version`` (0: absent); else return ``None``."""
        current = self.objects.get(key)
        if (current.version if current else 0) != if_version:
            return None
        return self._append(key, value)

    def remove(self, key: str, if_version: int) -> Record | None:
        """Delete if the object is at ``if_version``; else return ``None``."""
        current = self.objects.get(key)
        if current is None or current.version != if_version:
            return None
        return self._append(key, None)

    def read(self, key: str, stale: bool = False) -> Record | None:
        """Return the object, or its previous version if ``stale``."""
        if stale and key in self.previous:
            return self.previous[key]
        return self.objects.get(key)

    def select(self, prefix: str, stale: bool = False) -> list[Record]:
        """Return the objects under ``prefix``, sorted by key."""
        keys = sorted(key for key in self.objects | self.previous if key.startswith(prefix))
        records = (self.read(key, stale) for key in keys)
        return [record for record in records if record is not None]

    def has_gap(self, prefix: str, since: int) -> bool:
        """Tell whether changes under ``prefix`` after ``since`` may have been trimmed."""
        return any(
            version > since
            for name, version in self.trimmed_versions.items()
            if prefix.startswith(f"{name}/") or name.startswith(prefix)
        )

    def changes(self, prefix: str, since: int) -> list[Record]:
        """Return the changes under ``prefix`` after ``since``, by version."""
        found = (
            record
            for record in itertools.chain.from_iterable(self.change_logs.values())
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
        log = self.change_logs.setdefault(collection, deque())
        log.append(record)
        if len(log) > self.history:
            self.trimmed_versions[collection] = log.popleft().version
        self.changed.set()
        self.changed = asyncio.Event()
        return record
