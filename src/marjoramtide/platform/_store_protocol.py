"""The platform's metadata store."""

import base64
import json
from collections.abc import Mapping
from typing import Any
from urllib.parse import quote

from marjoramtide.store import (
    Answer,
    Call,
    Meaning,
    Page,
    StoredObject,
    StoreProtocol,
    WatchEvent,
)

READ = {200: Meaning.DONE, 404: Meaning.MISSING}
LISTED = {200: Meaning.DONE}
WATCHED = {200: Meaning.DONE, 410: Meaning.GAP}
WRITTEN = {
    200: Meaning.DONE,
    201: Meaning.DONE,
    204: Meaning.DONE,
    404: Meaning.MISSING,
    409: Meaning.CONFLICT,
}
CERTAINLY_NOTHING_DONE = 503
LONGEST_WAIT_MS = 30_000
JSON_BODY = {"Content-Type": "application/json"}
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

    def list_page(self, prefix: str, after: str) -> Call:
        params = {"after": after} if after else {}
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

    def read_object(self, key: str, answer: Answer) -> StoredObject:
        return stored_object(kind_of(key), json.loads(answer.body))

    def read_page(self, prefix: str, answer: Answer) -> Page:
        listed = json.loads(answer.body)
        objects = [stored_object(kind_of(prefix), item) for item in listed["items"]]
        last = listed["items"][-1]["Metadata"]["Name"] if listed.get("HasMore") else ""
        found = [each for each in objects if each.key.startswith(prefix)]
        return Page(found, int(listed["CurrentRev"]), last)

    def read_written(self, key: str, value: bytes, answer: Answer) -> StoredObject:
        return StoredObject(key, value, int(json.loads(answer.body)["Metadata"]["Revision"]))

    def read_event(self, prefix: str, line: bytes) -> WatchEvent:
        raise NotImplementedError("watches of this store don't stream")

    def read_events(self, prefix: str, body: bytes) -> tuple[list[WatchEvent], int]:
        answer = json.loads(body)
        events = [watch_event(kind_of(prefix), entry) for entry in answer["events"]]
        return [each for each in events if each.key.startswith(prefix)], int(answer["CurrentRev"])

    def certainly_refused(self, status: int, headers: Mapping[str, str]) -> bool:
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
    """Return the value in a specification; one that isn't ours is returned as its JSON text."""
    if isinstance(specification, dict) and len(specification) == 1:
        if TEXT in specification:
            return str(specification[TEXT]).encode()
        if BYTES in specification:
            return base64.b64decode(specification[BYTES])
    return json.dumps(specification, separators=(",", ":")).encode()


def stored_object(kind: str, item: dict[str, Any]) -> StoredObject:
    metadata = item["Metadata"]
    key = f"{kind}/{metadata['Name']}"
    return StoredObject(key, unpack(item.get("Specification")), int(metadata["Revision"]))


def watch_event(kind: str, entry: dict[str, Any]) -> WatchEvent:
    stored = stored_object(kind, entry["Object"])
    return WatchEvent(stored.key, stored.version, None if entry["Removed"] else stored)
