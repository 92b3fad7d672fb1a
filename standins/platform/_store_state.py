"""Objects of the platform's store, their revisions and the change history."""

import asyncio
import copy
from typing import Any

import attrs

Item = dict[str, Any]


@attrs.frozen(slots=True)
class Change:
    """An entry of the change history."""

    revision: int
    kind: str
    item: Item
    removed: bool


@attrs.frozen(slots=True)
class StoreCopy:
    """All objects at one revision."""

    revision: int
    kinds: dict[str, dict[str, Item]]


class PlatformStoreState:
    """Objects by kind and name, with one revision counter for the whole store."""

    def __init__(self) -> None:
        self.revision = 0
        self.kinds: dict[str, dict[str, Item]] = {}
        self.history: list[Change] = []
        self.compacted_revision = 0
        self.era = 0
        self.changed = asyncio.Event()

    def get(self, kind: str, name: str) -> Item | None:
        return self.kinds.get(kind, {}).get(name)

    def page(self, kind: str, after: str, size: int) -> tuple[list[Item], bool]:
        """Return the objects of a kind after the name ``after``, and whether there are more."""
        names = sorted(name for name in self.kinds.get(kind, {}) if name > after)
        return [self.kinds[kind][name] for name in names[:size]], len(names) > size

    def put(self, kind: str, name: str, **fields: Any) -> Item:
        """Write an object; a write that changes nothing keeps its revision."""
        existing = self.get(kind, name)
        if existing is not None and all(
            existing.get(key) == value for key, value in fields.items()
        ):
            return existing
        item = copy.deepcopy(existing) if existing is not None else self.new_item(name)
        item.update(fields)
        self.kinds.setdefault(kind, {})[name] = item
        self.record_change(kind, item, removed=False)
        return item

    def new_item(self, name: str) -> Item:
        metadata = {"Name": name, "Created": self.revision + 1, "Finalizers": [], "Deleting": False}
        return {"Metadata": metadata, "Specification": None, "Status": None}

    def remove(self, kind: str, name: str) -> None:
        self.record_change(kind, self.kinds[kind].pop(name), removed=True)

    def record_change(self, kind: str, item: Item, *, removed: bool) -> None:
        self.revision += 1
        item["Metadata"]["Revision"] = self.revision
        self.history.append(Change(self.revision, kind, copy.deepcopy(item), removed))
        self.notify_watchers()

    def copy(self) -> "StoreCopy":
        """Return a copy of all objects for ``restore``."""
        return StoreCopy(self.revision, copy.deepcopy(self.kinds))

    def restore(self, saved: "StoreCopy") -> None:
        """Restore a copy: later writes are lost and the revision counter goes back."""
        self.revision = saved.revision
        self.kinds = copy.deepcopy(saved.kinds)
        self.history = [each for each in self.history if each.revision <= saved.revision]
        self.era += 1
        self.notify_watchers()

    def notify_watchers(self) -> None:
        """Wake up waiting watches."""
        self.changed.set()
        self.changed = asyncio.Event()

    def compact_history(self) -> None:
        """Drop all history, as the platform may at any time; waiting watches get 410."""
        self.history.clear()
        self.compacted_revision = self.revision
        self.notify_watchers()

    def changes(self, kind: str, since: int) -> list[Change]:
        return [each for each in self.history if each.revision > since and each.kind == kind]
