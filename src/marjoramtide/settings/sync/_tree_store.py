"""The tree and its history as objects in the platform's store."""

import random
from collections.abc import Callable

import attrs
import structlog

from marjoramtide.clock import Clock
from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.membership import ANNOUNCEMENT_PREFIX, Announcement, decode_announcement
from marjoramtide.settings._envelope import Envelope, decode_envelope
from marjoramtide.settings.sync._backoff import backoff
from marjoramtide.settings.sync._own_tree_source import OwnTreeSource
from marjoramtide.settings.sync._tree_source import TreeSource
from marjoramtide.store import ObjectStore, StoredObject

HISTORY_PREFIX = "settings/history/"
HISTORY_LENGTH = 1000
READ_TIMEOUT_S = 2.0
MAX_ATTEMPTS = 4
NOT_APPLIED_CODES = (ErrorCode.STORE_UNAVAILABLE, ErrorCode.STORE_THROTTLED)

log = structlog.get_logger()


@attrs.frozen(slots=True)
class StoredTree:
    """A revision and the store version of the object that holds it."""

    envelope: Envelope
    version: int


@attrs.define(slots=True, eq=False, repr=False)
class TreeStore:
    """Reads and writes the tree; ``source`` tells where it is kept.

    ``cached`` is the tree last decoded, from ``cached_source``.
    """

    store: ObjectStore
    clock: Clock
    rng: random.Random
    source: TreeSource = attrs.field(factory=OwnTreeSource)
    cached_source: TreeSource | None = None
    cached: StoredTree | None = None

    async def read(self, timeout: float = READ_TIMEOUT_S) -> StoredTree | None:
        """Return the tree, or ``None`` if none was ever written; raises the store's errors."""
        return (await self.read_with_position(timeout))[0]

    async def read_with_position(
        self, timeout: float = READ_TIMEOUT_S
    ) -> tuple[StoredTree | None, int]:
        """Return the tree, and the store version from which to watch for changes."""
        stored, position = await self.source.read(self.store, timeout)
        if stored is None:
            return None, position
        return self._decode(stored), position

    def _decode(self, stored: StoredObject) -> StoredTree:
        """Return the tree in an object, from the cache if its version was decoded before."""
        known = self.cached if self.cached_source is self.source else None
        if known is None or known.version != stored.version:
            known = StoredTree(self.source.decode(stored), stored.version)
            self.cached, self.cached_source = known, self.source
        return known

    async def read_history(self, revision: int) -> Envelope:
        """Return an earlier revision; raises ``not-found`` if it is no longer kept."""
        try:
            stored = await self.store.get(history_key(revision))
        except MarjoramtideError as error:
            if error.code is ErrorCode.NOT_FOUND:
                raise MarjoramtideError(
                    ErrorCode.NOT_FOUND,
                    f"revision {revision} is not kept; the last {HISTORY_LENGTH} are",
                    step="settings.history",
                ) from error
            raise
        return decode_envelope(stored.value)

    async def read_announcements(self) -> list[Announcement]:
        """Return the announcements of nodes; raises the store's errors."""
        found = []
        for item in await self.store.list(ANNOUNCEMENT_PREFIX):
            try:
                found.append(decode_announcement(item.key, item.value))
            except MarjoramtideError as error:
                log.warning("settings.announcement", key=item.key, error=str(error))
        return found

    async def write(
        self, prior: StoredTree | None, envelope: Envelope, on_uncertain: Callable[[str], None]
    ) -> bool:
        """Replace ``prior`` by ``envelope``; return whether it became part of the tree.

        False is final: another revision was written first, and this write can't take effect any
        more. Raises ``store-unavailable`` or ``store-throttled`` if certainly nothing was written.

        When the response to a write is lost, the write may have been applied, may be applied later,
        or never. Reporting "rejected" would be wrong in the first two cases: the change would come
        into force after the operator was told that it wouldn't. So the same conditional write is
        retried until the store answers its condition: as soon as the object has moved past the
        prior version, no copy still in flight can be applied, and a read tells which write won.
        ``on_uncertain`` is called with the reason at each retry.
        """
        data = envelope.encode()
        is_uncertain = False
        for attempt, wait in enumerate(backoff(self.rng), start=1):
            try:
                await self._put(prior, data)
                return True
            except MarjoramtideError as error:
                if error.code is ErrorCode.VERSION_CONFLICT:
                    return is_uncertain and await self._resolve_uncertain(
                        prior, envelope, on_uncertain
                    )
                is_uncertain = is_uncertain or error.code is ErrorCode.STORE_AMBIGUOUS
                can_retry = error.code in NOT_APPLIED_CODES and attempt < MAX_ATTEMPTS
                if not (is_uncertain or can_retry):
                    raise
                on_uncertain(str(error))
            await self.clock.sleep(wait)
        raise AssertionError("backoff never ends")

    async def overwrite_older(self, older: StoredTree | None, envelope: Envelope) -> None:
        """Write a revision that is in force over an older one, if that is still stored.

        Raises the store's errors except for a conflict, which means that another node wrote first.
        """
        try:
            await self._put(older, envelope.encode())
        except MarjoramtideError as error:
            if error.code is not ErrorCode.VERSION_CONFLICT:
                raise

    async def save_to_history(self, envelope: Envelope) -> None:
        """Save a revision that is about to be replaced.

        A revision of the tree never changes, so every writer of a key writes the same bytes. A
        write whose response was lost can be retried, and an existing key counts as success.
        """
        for attempt, wait in enumerate(backoff(self.rng), start=1):
            try:
                await self.store.create(history_key(envelope.revision), envelope.encode())
                return
            except MarjoramtideError as error:
                if error.code is ErrorCode.VERSION_CONFLICT:
                    return
                if attempt >= MAX_ATTEMPTS:
                    raise
            await self.clock.sleep(wait)

    async def delete_from_history(self, revision: int) -> None:
        """Delete a revision beyond the history limit; after a failure it stays for good."""
        if revision <= 0:
            return
        try:
            stored = await self.store.get(history_key(revision))
            await self.store.delete(stored.key, stored.version)
        except MarjoramtideError as error:
            log.info("settings.forget", revision=revision, error=str(error))

    async def _put(self, prior: StoredTree | None, data: bytes) -> None:
        if prior is None:
            await self.store.create(self.source.key, data)
        else:
            await self.store.update(self.source.key, data, prior.version)

    async def _resolve_uncertain(
        self, prior: StoredTree | None, envelope: Envelope, on_uncertain: Callable[[str], None]
    ) -> bool:
        """Tell whether the revision that replaced ``prior`` is ``envelope`` or builds on it.

        Reads may be stale: one that is no newer than ``prior`` proves nothing and is retried.
        """
        for wait in backoff(self.rng):
            try:
                found = await self.read()
                if found and (prior is None or found.version > prior.version):
                    return await self._is_in_tree(envelope, found.envelope)
                on_uncertain("the store returned a stale object")
            except MarjoramtideError as error:
                if error.code is ErrorCode.BAD_SETTINGS:
                    raise
                on_uncertain(str(error))
            await self.clock.sleep(wait)
        raise AssertionError("backoff never ends")

    async def _is_in_tree(self, envelope: Envelope, found: Envelope) -> bool:
        """Tell whether ``envelope`` was accepted, also after it has left the recent changes."""
        if found.find_change(envelope.change):
            return True
        if any(entry.revision == envelope.revision for entry in found.recent):
            return False
        return (await self.read_history(envelope.revision)).change == envelope.change


def history_key(revision: int) -> str:
    """Return the key of a saved revision; keys sort in revision order."""
    return f"{HISTORY_PREFIX}{revision:010d}"
