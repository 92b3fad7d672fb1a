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
HISTORY_KEPT = 1000
READ_TIMEOUT_S = 2.0
ATTEMPTS = 4
CERTAINLY_NO_EFFECT = (ErrorCode.STORE_UNAVAILABLE, ErrorCode.STORE_THROTTLED)

log = structlog.get_logger()


@attrs.frozen(slots=True)
class StoredTree:
    """A revision with the version of the object that holds it."""

    envelope: Envelope
    version: int


@attrs.define(slots=True, eq=False, repr=False)
class TreeStore:
    """Reads and writes the tree; ``source`` tells where it lies."""

    store: ObjectStore
    clock: Clock
    rng: random.Random
    source: TreeSource = attrs.field(factory=OwnTreeSource)
    decoded_by: TreeSource | None = None
    decoded: StoredTree | None = None

    async def read(self, timeout: float = READ_TIMEOUT_S) -> StoredTree | None:
        """Return the tree, or ``None`` where none was ever written; raises what the store does."""
        return (await self.read_with_position(timeout))[0]

    async def read_with_position(
        self, timeout: float = READ_TIMEOUT_S
    ) -> tuple[StoredTree | None, int]:
        """Return the tree, and the store's version from which a watch goes on."""
        stored, position = await self.source.read(self.store, timeout)
        if stored is None:
            return None, position
        return self._decode(stored), position

    def _decode(self, stored: StoredObject) -> StoredTree:
        """Return the tree in an object; one that was read before isn't decoded again."""
        known = self.decoded if self.decoded_by is self.source else None
        if known is None or known.version != stored.version:
            known = StoredTree(self.source.decode(stored), stored.version)
            self.decoded, self.decoded_by = known, self.source
        return known

    async def read_history(self, revision: int) -> Envelope:
        """Return an earlier revision; raises ``not-found`` where it is no longer kept."""
        try:
            stored = await self.store.get(history_key(revision))
        except MarjoramtideError as error:
            if error.code is ErrorCode.NOT_FOUND:
                raise MarjoramtideError(
                    ErrorCode.NOT_FOUND,
                    f"revision {revision} is not kept; the last {HISTORY_KEPT} are",
                    step="settings.history",
                ) from error
            raise
        return decode_envelope(stored.value)

    async def announced(self) -> list[Announcement]:
        """Return the nodes that announced themselves; raises what the store does."""
        found = []
        for item in await self.store.list(ANNOUNCEMENT_PREFIX):
            try:
                found.append(decode_announcement(item.key, item.value))
            except MarjoramtideError as error:
                log.warning("settings.announcement", key=item.key, error=str(error))
        return found

    async def write(
        self, prior: StoredTree | None, envelope: Envelope, doubt: Callable[[str], None]
    ) -> bool:
        """Put ``envelope`` in the place of ``prior``; return whether it is part of the tree.

        False is final: another revision came first, and this write can't take effect any more.
        Raises ``store-unavailable`` or ``store-throttled`` where certainly nothing was written.

        When the answer to a write is lost, the write may have been applied, may be applied later,
        or never. Telling "rejected" then would be a lie in the first two cases, with the symptom
        of a change that comes into force after it was called off. So the same write, under the same
        condition, is repeated until its condition is answered: as soon as the object has moved past
        the prior version, no copy still under way can be applied, and reading tells which one won.
        ``doubt`` is called with the reason at each repetition.
        """
        data = envelope.encode()
        doubtful = False
        for attempt, wait in enumerate(backoff(self.rng), start=1):
            try:
                await self._put(prior, data)
                return True
            except MarjoramtideError as error:
                if error.code is ErrorCode.VERSION_CONFLICT:
                    return doubtful and await self._find(prior, envelope, doubt)
                doubtful = doubtful or error.code is ErrorCode.STORE_AMBIGUOUS
                again = error.code in CERTAINLY_NO_EFFECT and attempt < ATTEMPTS
                if not (doubtful or again):
                    raise
                doubt(str(error))
            await self.clock.sleep(wait)
        raise AssertionError("the waits never end")

    async def write_again(self, held: StoredTree | None, envelope: Envelope) -> None:
        """Write a revision that is in force over an older one, if that is still there.

        Raises what the store does, but for a conflict: somebody else has written meanwhile.
        """
        try:
            await self._put(held, envelope.encode())
        except MarjoramtideError as error:
            if error.code is not ErrorCode.VERSION_CONFLICT:
                raise

    async def keep(self, envelope: Envelope) -> None:
        """Keep a revision that is about to be replaced.

        A key holds the same bytes whoever writes it and whenever, since a revision in the tree
        never changes. So a lost answer is simply asked again, and a taken key is as good.
        """
        for attempt, wait in enumerate(backoff(self.rng), start=1):
            try:
                await self.store.create(history_key(envelope.revision), envelope.encode())
                return
            except MarjoramtideError as error:
                if error.code is ErrorCode.VERSION_CONFLICT:
                    return
                if attempt >= ATTEMPTS:
                    raise
            await self.clock.sleep(wait)

    async def forget(self, revision: int) -> None:
        """Delete a revision that is older than what is kept; a failure leaves it for good."""
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

    async def _find(
        self, prior: StoredTree | None, envelope: Envelope, doubt: Callable[[str], None]
    ) -> bool:
        """Tell whether the revision that replaced ``prior`` is, or rests on, ``envelope``.

        The store may answer with an old state: one that is no newer than ``prior`` says nothing,
        and is asked for again.
        """
        for wait in backoff(self.rng):
            try:
                found = await self.read()
                if found and (prior is None or found.version > prior.version):
                    return await self._is_part(envelope, found.envelope)
                doubt("the store answered with an old state")
            except MarjoramtideError as error:
                if error.code is ErrorCode.BAD_SETTINGS:
                    raise
                doubt(str(error))
            await self.clock.sleep(wait)
        raise AssertionError("the waits never end")

    async def _is_part(self, envelope: Envelope, found: Envelope) -> bool:
        """Tell whether ``envelope`` won its revision, which may have left the recent ones since."""
        if found.contains(envelope.change):
            return True
        if any(entry.revision == envelope.revision for entry in found.recent):
            return False
        return (await self.read_history(envelope.revision)).change == envelope.change


def history_key(revision: int) -> str:
    """Return the key of a kept revision; keys sort in the order of revisions."""
    return f"{HISTORY_PREFIX}{revision:010d}"
