"""The tree as marjoramtide's own command line writes it."""

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.settings._envelope import Envelope, decode_envelope
from marjoramtide.settings.sync._tree_source import TreeSource
from marjoramtide.store import ObjectStore, StoredObject

TREE_KEY = "settings/tree"


class OwnTreeSource(TreeSource):
    """Reads the tree from an envelope under one key."""

    key = TREE_KEY
    may_be_absent = True
    is_writable = True

    async def read(self, store: ObjectStore, timeout: float) -> tuple[StoredObject | None, int]:
        try:
            stored = await store.get(self.key, timeout=timeout)
        except MarjoramtideError as error:
            if error.code is ErrorCode.NOT_FOUND:
                return None, 0
            raise
        return stored, stored.version

    def decode(self, stored: StoredObject) -> Envelope:
        return decode_envelope(stored.value)
