"""Versions of objects that stay ordered when the store comes back from an older copy."""

import attrs

from marjoramtide.store._stored_object import StoredObject
from marjoramtide.store._watch_event import WatchEvent

# Above any revision that a store gives out, and small enough for 64 bits with thousands of epochs.
REVISIONS_AN_EPOCH = 1 << 48


def version_of(epoch: int, revision: int) -> int:
    """Return the version that stands for a revision of one epoch of the store.

    A store that comes back from a copy counts on from an earlier revision, and gives revisions out
    again. With the epoch above the revision no version stands for two states of an object, and a
    later write still has the larger one.
    """
    return epoch * REVISIONS_AN_EPOCH + revision


def epoch_of(version: int) -> int:
    """Return the epoch of the store in which a version was given out."""
    return version // REVISIONS_AN_EPOCH


def revision_of(version: int) -> int:
    """Return the store's own revision of a version."""
    return version % REVISIONS_AN_EPOCH


def dated(stored: StoredObject, epoch: int) -> StoredObject:
    """Return an object of which the store gave the revision, with its version."""
    if not epoch:
        return stored
    return attrs.evolve(stored, version=version_of(epoch, stored.version))


def dated_event(event: WatchEvent, epoch: int) -> WatchEvent:
    """Return a change of which the store gave the revision, with its version."""
    if not epoch:
        return event
    stored = None if event.stored is None else dated(event.stored, epoch)
    return WatchEvent(event.key, version_of(epoch, event.version), stored)
