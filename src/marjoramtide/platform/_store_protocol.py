"""The protocol of the platform's metadata store."""

import base64
import json
from collections.abc import Callable, Iterator, Mapping
from contextlib import suppress
from functools import partial
from typing import Any, TypeVar
from urllib.parse import quote

import attrs

from marjoramtide.checked import MalformedError, parse_json, rename_keys, structure_as
from marjoramtide.platform._configuration import OperatorConfiguration
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

GET_OUTCOMES = {200: CallOutcome.DONE, 404: CallOutcome.MISSING}
LIST_OUTCOMES = {200: CallOutcome.DONE}
WATCH_OUTCOMES = {200: CallOutcome.DONE, 410: CallOutcome.GAP}
WRITE_OUTCOMES = {
    200: CallOutcome.DONE,
    201: CallOutcome.DONE,
    204: CallOutcome.DONE,
    404: CallOutcome.MISSING,
    409: CallOutcome.CONFLICT,
}
NOT_APPLIED_STATUS = 503
MAX_WAIT_MS = 30_000
# A store is never restored often enough for more digits.
MAX_EPOCH_DIGITS = 6
JSON_BODY = {"Content-Type": "application/json"}
# Kinds whose objects carry all information in their names; their values are not read.
KINDS_WITHOUT_VALUE = frozenset(("evacuations",))
# The fields of an object's specification that contain a text or binary value of this project.
TEXT_FIELD = "text"
BYTES_FIELD = "base64"


class PlatformStoreProtocol(StoreProtocol):
    """Objects by kind and name, which together form the key ``kind/name``.

    The platform does not read the specifications of this project's kinds. These contain the value
    in a single field, which distinguishes them from the operator's plain specifications.
    """

    streams_watches = False

    def get(self, key: str) -> Call:
        return Call("store.get", "GET", object_path(key), GET_OUTCOMES)

    def list_page(self, prefix: str, after: str, *, allow_stale: bool = False) -> Call:
        params = ({"after": after} if after else {}) | ({"StaleOk": "1"} if allow_stale else {})
        return Call("store.list", "GET", kind_path(prefix), LIST_OUTCOMES, params=params)

    def current_version(self) -> Call:
        # Of a kind that the store surely has, from its only object on.
        return self.list_page(OperatorConfiguration.key, name_of(OperatorConfiguration.key))

    def create(self, key: str, value: bytes) -> Call:
        return write_call("store.create", "POST", kind_path(key), {"Name": name_of(key)}, value)

    def update(self, key: str, value: bytes, version: int) -> Call:
        metadata = {"Name": name_of(key), "Revision": version}
        return write_call("store.update", "PUT", object_path(key), metadata, value)

    def delete(self, key: str, version: int) -> Call:
        params = {"Revision": str(version)}
        return Call("store.delete", "DELETE", object_path(key), WRITE_OUTCOMES, params=params)

    def watch(self, prefix: str, since: int, wait_s: float) -> Call:
        wait_ms = min(int(wait_s * 1000), MAX_WAIT_MS)
        params = {"Watch": str(since), "WaitMs": str(wait_ms)}
        return Call("store.watch", "GET", kind_path(prefix), WATCH_OUTCOMES, params=params)

    def read_object(self, key: str, response: StoreResponse) -> StoredObject:
        return decode_object(kind_of(key), parse_json(response.body))

    def read_page(self, prefix: str, response: StoreResponse) -> ListPage:
        listed = structure_as(Listed, rename_keys(parse_json(response.body), LISTED_FIELDS))
        objects = list(decode_valid(partial(decode_object, kind_of(prefix)), listed.items))
        if listed.has_more and not objects:
            raise MalformedError("page of a list has no valid entry to continue from")
        return ListPage(
            [each for each in objects if each.key.startswith(prefix)],
            listed.revision,
            name_of(objects[-1].key) if listed.has_more else "",
            len(listed.items) - len(objects),
        )

    def read_written(self, key: str, value: bytes, response: StoreResponse) -> StoredObject:
        return attrs.evolve(decode_object(kind_of(key), parse_json(response.body)), value=value)

    def read_event(self, prefix: str, line: bytes) -> WatchEvent:
        raise NotImplementedError("watches of this store do not stream")

    def read_events(self, prefix: str, body: bytes) -> WatchResponse:
        watched = structure_as(Watched, rename_keys(parse_json(body), WATCHED_FIELDS))
        events = list(decode_valid(partial(decode_event, kind_of(prefix)), watched.events))
        return WatchResponse(
            [each for each in events if each.key.startswith(prefix)],
            watched.revision,
            len(watched.events) - len(events),
        )

    def epoch(self, headers: Mapping[str, str]) -> int:
        text = headers.get(STORE_EPOCH, "0")
        if not (text.isascii() and text.isdigit() and len(text) <= MAX_EPOCH_DIGITS):
            raise MalformedError(f"{STORE_EPOCH}: {text[:40]!r} is not a valid number")
        return int(text)

    def is_definite_refusal(self, status: int, headers: Mapping[str, str]) -> bool:
        return status == NOT_APPLIED_STATUS


def kind_of(key: str) -> str:
    return key.partition("/")[0]


def name_of(key: str) -> str:
    return key.partition("/")[2]


def kind_path(key: str) -> str:
    return f"/objects/{quote(kind_of(key), safe='')}"


def object_path(key: str) -> str:
    return f"{kind_path(key)}/{quote(name_of(key), safe='')}"


def write_call(step: str, method: str, path: str, metadata: dict[str, Any], value: bytes) -> Call:
    body = {"Metadata": metadata, "Specification": encode_value(value)}
    return Call(
        step, method, path, WRITE_OUTCOMES, headers=JSON_BODY, body=json.dumps(body).encode()
    )


def encode_value(value: bytes) -> dict[str, str]:
    """Return the specification that contains a value of this project."""
    try:
        return {TEXT_FIELD: value.decode()}
    except UnicodeDecodeError:
        return {BYTES_FIELD: base64.b64encode(value).decode()}


def decode_value(specification: Any) -> bytes:
    """Return the value in a specification; the operator's are returned as JSON text.

    Raises ``MalformedError`` for a malformed specification of this project.
    """
    if isinstance(specification, dict) and len(specification) == 1:
        if TEXT_FIELD in specification:
            return structure_as(TextValue, specification).text.encode()
        if BYTES_FIELD in specification:
            return decode_base64(structure_as(BytesValue, specification).base64)
    return json.dumps(specification, separators=(",", ":")).encode()


def decode_base64(text: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except ValueError as error:
        raise MalformedError(f"invalid base64: {error}") from error


def decode_valid(decode: Callable[[Any], T], entries: list[Any]) -> Iterator[T]:
    """Decode the valid entries and skip malformed ones.

    If one malformed announcement among two hundred made the whole list fail, a starting node would
    find no other nodes until somebody removed that entry.
    """
    for entry in entries:
        with suppress(MalformedError):
            yield decode(entry)


def decode_object(kind: str, item: Any) -> StoredObject:
    """Decode an object of a kind; raises ``MalformedError``."""
    fields = rename_keys(item, {"Metadata": "metadata", "Specification": "specification"})
    metadata = structure_as(ObjectMetadata, rename_keys(fields.get("metadata"), METADATA_FIELDS))
    value = b"" if kind in KINDS_WITHOUT_VALUE else decode_value(fields.get("specification"))
    return StoredObject(f"{kind}/{metadata.name}", value, metadata.revision)


def decode_event(kind: str, entry: Any) -> WatchEvent:
    """Decode a change of an object of a kind; raises ``MalformedError``."""
    change = structure_as(
        ObjectChange, rename_keys(entry, {"Removed": "removed", "Object": "object"})
    )
    stored = decode_object(kind, change.object)
    return WatchEvent(stored.key, stored.version, None if change.removed else stored)
