"""The objects of the platform's store, their revisions and the history of changes."""

import asyncio
import copy
from typing import Any

import attrs

Item = dict[str, Any]


@attrs.frozen(slots=True)
class Change:
    """One change of one object."""

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
    """Objects by kind and name, under one counter of revisions."""

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
        """Return the objects of a kind behind ``after``, and whether there are more."""
        names = sorted(name for name in self.kinds.get(kind, {}) if name > after)
        return [self.kinds[kind][name] for name in names[:size]], len(names) > size

    def put(self, kind: str, name: str, **fields: Any) -> Item:
        """Write an object; a write that changes nothing leaves its revision."""
        held = self.get(kind, name)
        if held is not None and all(held.get(key) == value for key, value in fields.items()):
            return held
        item = copy.deepcopy(held) if held is not None else self.new_item(name)
        item.update(fields)
        self.kinds.setdefault(kind, {})[name] = item
        self.note(kind, item, removed=False)
        return item

    def new_item(self, name: str) -> Item:
        metadata = {"Name": name, "Created": self.revision + 1, "Finalizers": [], "Deleting": False}
        return {"Metadata": metadata, "Specification": None, "Status": None}

    def remove(self, kind: str, name: str) -> None:
        self.note(kind, self.kinds[kind].pop(name), removed=True)

    def note(self, kind: str, item: Item, *, removed: bool) -> None:
        self.revision += 1
        item["Metadata"]["Revision"] = self.revision
        self.history.append(Change(self.revision, kind, copy.deepcopy(item), removed))
        self.notify_watchers()

    def copy(self) -> "StoreCopy":
        """Return a copy, as it may be put back later."""
        return StoreCopy(self.revision, copy.deepcopy(self.kinds))

    def restore(self, held: "StoreCopy") -> None:
        """Come back from a copy: what was written since is gone, and revisions count on from it."""
        self.revision = held.revision
        self.kinds = copy.deepcopy(held.kinds)
        self.history = [each for each in self.history if each.revision <= held.revision]
        self.era += 1
        self.notify_watchers()

    def notify_watchers(self) -> None:
        """Let those that wait for a change look again."""
        self.changed.set()
        self.changed = asyncio.Event()

    def compact_history(self) -> None:
        """Drop all history, as the platform may at any time; watches that wait are cut."""
        self.history.clear()
        self.compacted_revision = self.revision
        self.notify_watchers()

    def changes(self, kind: str, since: int) -> list[Change]:
        return [each for each in self.history if each.revision > since and each.kind == kind]
