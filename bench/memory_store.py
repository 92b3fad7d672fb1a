"""An in-memory object store, for measurements that don't concern the store."""

from collections.abc import AsyncIterator

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.store import Listing, ObjectStore, StoredObject, WatchEvent


class MemoryStore(ObjectStore):
    """Responds immediately and never fails; doesn't support ``watch``."""

    def __init__(self) -> None:
        self.objects: dict[str, StoredObject] = {}
        self.version = 0

    async def get(self, key: str, *, timeout: float = 2.0) -> StoredObject:
        if key not in self.objects:
            raise MarjoramtideError(ErrorCode.NOT_FOUND, key, step="store.get")
        return self.objects[key]

    async def list(self, prefix: str, *, timeout: float = 2.0) -> Listing:
        found = [self.objects[key] for key in sorted(self.objects) if key.startswith(prefix)]
        return Listing(found, self.version)

    async def create(self, key: str, value: bytes, *, timeout: float = 2.0) -> StoredObject:
        if key in self.objects:
            raise MarjoramtideError(ErrorCode.VERSION_CONFLICT, key, step="store.create")
        return self._put(key, value)

    async def update(
        self, key: str, value: bytes, version: int, *, timeout: float = 2.0
    ) -> StoredObject:
        await self._check(key, version)
        return self._put(key, value)

    async def delete(self, key: str, version: int, *, timeout: float = 2.0) -> None:
        await self._check(key, version)
        del self.objects[key]

    def watch(self, prefix: str, since: int, *, wait: float = 30.0) -> AsyncIterator[WatchEvent]:
        raise NotImplementedError

    async def close(self) -> None:
        """Nothing to close."""

    async def _check(self, key: str, version: int) -> None:
        if (await self.get(key)).version != version:
            raise MarjoramtideError(ErrorCode.VERSION_CONFLICT, key, step="store.update")

    def _put(self, key: str, value: bytes) -> StoredObject:
        self.version += 1
        self.objects[key] = StoredObject(key, value, self.version)
        return self.objects[key]
