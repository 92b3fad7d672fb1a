"""The platform's metadata store."""

import base64
import json
from collections.abc import Callable, Iterator, Mapping
from contextlib import suppress
from functools import partial
from typing import Any, TypeVar
from urllib.parse import quote

import attrs

from marjoramtide.checked import MalformedError, parse_json, rename_keys, structure_as
from marjoramtide.platform._headers import STORE_EPOCH
from marjoramtide.platform._stored import (
    LISTED_FIELDS,
    METADATA_FIELDS,
    WATCHED_FIELDS,
    BytesValue,
    Listed,
    ObjectChange,
    ObjectMetadata,
    TextValue,
    Watched,
)
from marjoramtide.store import (
    Call,
    CallOutcome,
    ListPage,
    StoredObject,
    StoreProtocol,
    StoreResponse,
    WatchEvent,
    WatchResponse,
)

T = TypeVar("T")

READ = {200: CallOutcome.DONE, 404: CallOutcome.MISSING}
LISTED = {200: CallOutcome.DONE}
WATCHED = {200: CallOutcome.DONE, 410: CallOutcome.GAP}
WRITTEN = {
    200: CallOutcome.DONE,
    201: CallOutcome.DONE,
    204: CallOutcome.DONE,
    404: CallOutcome.MISSING,
    409: CallOutcome.CONFLICT,
}
CERTAINLY_NOTHING_DONE = 503
LONGEST_WAIT_MS = 30_000
# A store that has come back more often tells something else.
MOST_EPOCH_DIGITS = 6
JSON_BODY = {"Content-Type": "application/json"}
# Kinds whose objects say all by their names; whatever else they hold is not read.
TOLD_BY_NAME = frozenset(("evacuations",))
# The field in which a value of ours that is text, or bytes, lies in an object's specification.
TEXT = "text"
BYTES = "base64"


class PlatformStore(StoreProtocol):
    """Objects by kind and name; our key ``kind/name`` is both.

    The platform reads no specification of our own kinds. Ours hold one field with the value, so
    that what the operator writes, which is a specification as it stands, is told from them.
    """

    streams_watches = False

    def get(self, key: str) -> Call:
        return Call("store.get", "GET", object_path(key), READ)

    def list_page(self, prefix: str, after: str, *, allow_stale: bool = False) -> Call:
        params = ({"after": after} if after else {}) | ({"StaleOk": "1"} if allow_stale else {})
        return Call("store.list", "GET", kind_path(prefix), LISTED, params=params)

    def create(self, key: str, value: bytes) -> Call:
        return write("store.create", "POST", kind_path(key), {"Name": name_of(key)}, value)

    def update(self, key: str, value: bytes, version: int) -> Call:
        metadata = {"Name": name_of(key), "Revision": version}
        return write("store.update", "PUT", object_path(key), metadata, value)

    def delete(self, key: str, version: int) -> Call:
        params = {"Revision": str(version)}
        return Call("store.delete", "DELETE", object_path(key), WRITTEN, params=params)

    def watch(self, prefix: str, since: int, wait_s: float) -> Call:
        wait_ms = min(int(wait_s * 1000), LONGEST_WAIT_MS)
        params = {"Watch": str(since), "WaitMs": str(wait_ms)}
        return Call("store.watch", "GET", kind_path(prefix), WATCHED, params=params)

    def read_object(self, key: str, response: StoreResponse) -> StoredObject:
        return stored_object(kind_of(key), parse_json(response.body))

    def read_page(self, prefix: str, response: StoreResponse) -> ListPage:
        listed = structure_as(Listed, rename_keys(parse_json(response.body), LISTED_FIELDS))
        objects = list(readable(partial(stored_object, kind_of(prefix)), listed.items))
        if listed.has_more and not objects:
            raise MalformedError(
                "a part of a list in which nothing can be read, so none may follow"
            )
        return ListPage(
            [each for each in objects if each.key.startswith(prefix)],
            listed.revision,
            name_of(objects[-1].key) if listed.has_more else "",
            len(listed.items) - len(objects),
        )

    def read_written(self, key: str, value: bytes, response: StoreResponse) -> StoredObject:
        return attrs.evolve(stored_object(kind_of(key), parse_json(response.body)), value=value)

    def read_event(self, prefix: str, line: bytes) -> WatchEvent:
        raise NotImplementedError("watches of this store don't stream")

    def read_events(self, prefix: str, body: bytes) -> WatchResponse:
        watched = structure_as(Watched, rename_keys(parse_json(body), WATCHED_FIELDS))
        events = list(readable(partial(watch_event, kind_of(prefix)), watched.events))
        return WatchResponse(
            [each for each in events if each.key.startswith(prefix)],
            watched.revision,
            len(watched.events) - len(events),
        )

    def epoch(self, headers: Mapping[str, str]) -> int:
        text = headers.get(STORE_EPOCH, "0")
        if not (text.isascii() and text.isdigit() and len(text) <= MOST_EPOCH_DIGITS):
            raise MalformedError(f"{STORE_EPOCH}: {text[:40]!r} is no number")
        return int(text)

    def is_definite_refusal(self, status: int, headers: Mapping[str, str]) -> bool:
        return status == CERTAINLY_NOTHING_DONE


def kind_of(key: str) -> str:
    return key.partition("/")[0]


def name_of(key: str) -> str:
    return key.partition("/")[2]


def kind_path(key: str) -> str:
    return f"/objects/{quote(kind_of(key), safe='')}"


def object_path(key: str) -> str:
    return f"{kind_path(key)}/{quote(name_of(key), safe='')}"


def write(step: str, method: str, path: str, metadata: dict[str, Any], value: bytes) -> Call:
    body = {"Metadata": metadata, "Specification": pack(value)}
    return Call(step, method, path, WRITTEN, headers=JSON_BODY, body=json.dumps(body).encode())


def pack(value: bytes) -> dict[str, str]:
    """Return the specification that holds a value of ours."""
    try:
        return {TEXT: value.decode()}
    except UnicodeDecodeError:
        return {BYTES: base64.b64encode(value).decode()}


def unpack(specification: Any) -> bytes:
    """Return the value in a specification; one that isn't ours is returned as its JSON text.

    Raises ``MalformedError`` where one of ours was spoiled.
    """
    if isinstance(specification, dict) and len(specification) == 1:
        if TEXT in specification:
            return structure_as(TextValue, specification).text.encode()
        if BYTES in specification:
            return decoded(structure_as(BytesValue, specification).base64)
    return json.dumps(specification, separators=(",", ":")).encode()


def decoded(text: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except ValueError as error:
        raise MalformedError(f"no base64: {error}") from error


def readable(read: Callable[[Any], T], entries: list[Any]) -> Iterator[T]:
    """Yield the entries that can be read.

    Failure: another writer spoils one of two hundred announcements. Were the whole list refused for
    it, a node that starts would find nobody until somebody has removed that one.
    """
    for entry in entries:
        with suppress(MalformedError):
            yield read(entry)


def stored_object(kind: str, item: Any) -> StoredObject:
    """Read one object of a kind; raises ``MalformedError``."""
    fields = rename_keys(item, {"Metadata": "metadata", "Specification": "specification"})
    metadata = structure_as(ObjectMetadata, rename_keys(fields.get("metadata"), METADATA_FIELDS))
    value = b"" if kind in TOLD_BY_NAME else unpack(fields.get("specification"))
    return StoredObject(f"{kind}/{metadata.name}", value, metadata.revision)


def watch_event(kind: str, entry: Any) -> WatchEvent:
    """Read one change of an object of a kind; raises ``MalformedError``."""
    change = structure_as(
        ObjectChange, rename_keys(entry, {"Removed": "removed", "Object": "object"})
    )
    stored = stored_object(kind, change.object)
    return WatchEvent(stored.key, stored.version, None if change.removed else stored)
