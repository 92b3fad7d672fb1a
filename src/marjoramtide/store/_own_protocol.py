"""The object API of our own stand-in, which the first platform spoke."""

import base64
import json
from collections.abc import Mapping
from http import HTTPStatus
from urllib.parse import quote

from marjoramtide.store._call import Call, CallOutcome, StoreResponse
from marjoramtide.store._store_protocol import Changes, Page, StoreProtocol
from marjoramtide.store._stored_object import StoredObject
from marjoramtide.store._watch_event import WatchEvent

FOUND_OR_NOT: dict[int, CallOutcome] = {
    HTTPStatus.OK: CallOutcome.DONE,
    HTTPStatus.NOT_FOUND: CallOutcome.MISSING,
}
LISTED: dict[int, CallOutcome] = {HTTPStatus.OK: CallOutcome.DONE}
WATCHED_OR_GAP: dict[int, CallOutcome] = {
    HTTPStatus.OK: CallOutcome.DONE,
    HTTPStatus.GONE: CallOutcome.GAP,
}
WRITTEN_OR_LOST: dict[int, CallOutcome] = {
    HTTPStatus.OK: CallOutcome.DONE,
    HTTPStatus.CREATED: CallOutcome.DONE,
    HTTPStatus.NO_CONTENT: CallOutcome.DONE,
    HTTPStatus.PRECONDITION_FAILED: CallOutcome.CONFLICT,
}


class DefaultStoreProtocol(StoreProtocol):
    """Keys in the path, versions as entity tags, watches as JSON lines."""

    streams_watches = True

    def get(self, key: str) -> Call:
        return Call("store.get", "GET", object_path(key), FOUND_OR_NOT)

    def list_page(self, prefix: str, after: str, *, may_be_old: bool = False) -> Call:
        return Call("store.list", "GET", "/v1/objects", LISTED, params={"prefix": prefix})

    def create(self, key: str, value: bytes) -> Call:
        return put("store.create", key, value, {"If-None-Match": "*"})

    def update(self, key: str, value: bytes, version: int) -> Call:
        return put("store.update", key, value, {"If-Match": f'"{version}"'})

    def delete(self, key: str, version: int) -> Call:
        condition = {"If-Match": f'"{version}"'}
        path = object_path(key)
        return Call("store.delete", "DELETE", path, WRITTEN_OR_LOST, headers=condition)

    def watch(self, prefix: str, since: int, wait_s: float) -> Call:
        params = {"prefix": prefix, "since": str(since), "wait": f"{wait_s:g}"}
        return Call("store.watch", "GET", "/v1/watch", WATCHED_OR_GAP, params=params)

    def read_object(self, key: str, answer: StoreResponse) -> StoredObject:
        return StoredObject(key, answer.body, version_of(answer))

    def read_page(self, prefix: str, answer: StoreResponse) -> Page:
        listed = json.loads(answer.body)
        return Page([stored_object(entry) for entry in listed["objects"]], int(listed["version"]))

    def read_written(self, key: str, value: bytes, answer: StoreResponse) -> StoredObject:
        return StoredObject(key, value, version_of(answer))

    def read_event(self, prefix: str, line: bytes) -> WatchEvent:
        entry = json.loads(line)
        stored = None if entry["value"] is None else stored_object(entry)
        return WatchEvent(str(entry["key"]), int(str(entry["version"])), stored)

    def read_events(self, prefix: str, body: bytes) -> Changes:
        raise NotImplementedError("watches of this store stream")

    def epoch(self, headers: Mapping[str, str]) -> int:
        return int(headers.get("Epoch", "0"))

    def certainly_refused(self, status: int, headers: Mapping[str, str]) -> bool:
        # A gateway may answer 5xx for a write that the store behind it applied. Only the store's
        # own word that it did not look at the write makes a 5xx a certain refusal.
        return headers.get("Write-Applied") == "no"


def object_path(key: str) -> str:
    return f"/v1/objects/{quote(key)}"


def put(step: str, key: str, value: bytes, condition: Mapping[str, str]) -> Call:
    path = object_path(key)
    return Call(step, "PUT", path, WRITTEN_OR_LOST, headers=condition, body=value)


def version_of(answer: StoreResponse) -> int:
    return int(answer.headers["ETag"].strip('"'))


def stored_object(entry: dict[str, object]) -> StoredObject:
    """Return an object from its entry in a list or a watch."""
    value = base64.b64decode(str(entry["value"]))
    return StoredObject(str(entry["key"]), value, int(str(entry["version"])))
