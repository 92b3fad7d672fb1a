"""Object versions that stay ordered when the store is restored from an older copy."""

import attrs

from marjoramtide.store._stored_object import StoredObject
from marjoramtide.store._watch_event import WatchEvent

# Larger than any revision of a store, yet thousands of epochs still fit into 64 bits.
REVISIONS_PER_EPOCH = 1 << 48


def make_version(epoch: int, revision: int) -> int:
    """Return the version for a revision of one epoch of the store.

    A store that was restored from a copy continues from an earlier revision and assigns revisions a
    second time. With the epoch in the high bits no version identifies two states of an object, and
    a later write still has a larger version.
    """
    return epoch * REVISIONS_PER_EPOCH + revision


def epoch_of(version: int) -> int:
    """Return the epoch of a version."""
    return version // REVISIONS_PER_EPOCH


def revision_of(version: int) -> int:
    """Return the store's revision of a version."""
    return version % REVISIONS_PER_EPOCH


def with_epoch(stored: StoredObject, epoch: int) -> StoredObject:
    """Return an object with its revision replaced by the version in this epoch."""
    if not epoch:
        return stored
    return attrs.evolve(stored, version=make_version(epoch, stored.version))


def event_with_epoch(event: WatchEvent, epoch: int) -> WatchEvent:
    """Return a change with its revision replaced by the version in this epoch."""
    if not epoch:
        return event
    stored = None if event.stored is None else with_epoch(event.stored, epoch)
    return WatchEvent(event.key, make_version(epoch, event.version), stored)
