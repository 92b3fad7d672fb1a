"""The project's default store protocol, which the stand-in object store also implements."""

import base64
import json
from collections.abc import Mapping
from http import HTTPStatus
from urllib.parse import quote

from marjoramtide.store._call import Call, CallOutcome, StoreResponse
from marjoramtide.store._store_protocol import ListPage, StoreProtocol, WatchResponse
from marjoramtide.store._stored_object import StoredObject
from marjoramtide.store._watch_event import WatchEvent

GET_OUTCOMES: dict[int, CallOutcome] = {
    HTTPStatus.OK: CallOutcome.DONE,
    HTTPStatus.NOT_FOUND: CallOutcome.MISSING,
}
LIST_OUTCOMES: dict[int, CallOutcome] = {HTTPStatus.OK: CallOutcome.DONE}
WATCH_OUTCOMES: dict[int, CallOutcome] = {
    HTTPStatus.OK: CallOutcome.DONE,
    HTTPStatus.GONE: CallOutcome.GAP,
}
WRITE_OUTCOMES: dict[int, CallOutcome] = {
    HTTPStatus.OK: CallOutcome.DONE,
    HTTPStatus.CREATED: CallOutcome.DONE,
    HTTPStatus.NO_CONTENT: CallOutcome.DONE,
    HTTPStatus.PRECONDITION_FAILED: CallOutcome.CONFLICT,
}


class DefaultStoreProtocol(StoreProtocol):
    """Keys in paths, versions in entity tags, and watches that stream JSON lines."""

    streams_watches = True

    def get(self, key: str) -> Call:
        return Call("store.get", "GET", object_path(key), GET_OUTCOMES)

    def list_page(self, prefix: str, after: str, *, allow_stale: bool = False) -> Call:
        return Call("store.list", "GET", "/v1/objects", LIST_OUTCOMES, params={"prefix": prefix})

    def create(self, key: str, value: bytes) -> Call:
        return put("store.create", key, value, {"If-None-Match": "*"})

    def update(self, key: str, value: bytes, version: int) -> Call:
        return put("store.update", key, value, {"If-Match": f'"{version}"'})

    def delete(self, key: str, version: int) -> Call:
        condition = {"If-Match": f'"{version}"'}
        path = object_path(key)
        return Call("store.delete", "DELETE", path, WRITE_OUTCOMES, headers=condition)

    def watch(self, prefix: str, since: int, wait_s: float) -> Call:
        params = {"prefix": prefix, "since": str(since), "wait": f"{wait_s:g}"}
        return Call("store.watch", "GET", "/v1/watch", WATCH_OUTCOMES, params=params)

    def read_object(self, key: str, response: StoreResponse) -> StoredObject:
        return StoredObject(key, response.body, version_from_etag(response))

    def read_page(self, prefix: str, response: StoreResponse) -> ListPage:
        listed = json.loads(response.body)
        return ListPage([parse_entry(entry) for entry in listed["objects"]], int(listed["version"]))

    def read_written(self, key: str, value: bytes, response: StoreResponse) -> StoredObject:
        return StoredObject(key, value, version_from_etag(response))

    def read_event(self, prefix: str, line: bytes) -> WatchEvent:
        entry = json.loads(line)
        stored = None if entry["value"] is None else parse_entry(entry)
        return WatchEvent(str(entry["key"]), int(str(entry["version"])), stored)

    def read_events(self, prefix: str, body: bytes) -> WatchResponse:
        raise NotImplementedError("watches of this store stream single events")

    def epoch(self, headers: Mapping[str, str]) -> int:
        return int(headers.get("Epoch", "0"))

    def is_definite_refusal(self, status: int, headers: Mapping[str, str]) -> bool:
        # A gateway may return 5xx for a write that the store behind it applied. Only this header,
        # set by the store itself, says that the write was not applied.
        return headers.get("Write-Applied") == "no"


def object_path(key: str) -> str:
    return f"/v1/objects/{quote(key)}"


def put(step: str, key: str, value: bytes, condition: Mapping[str, str]) -> Call:
    path = object_path(key)
    return Call(step, "PUT", path, WRITE_OUTCOMES, headers=condition, body=value)


def version_from_etag(response: StoreResponse) -> int:
    return int(response.headers["ETag"].strip('"'))


def parse_entry(entry: dict[str, object]) -> StoredObject:
    """Return the object of an entry in a list or a watch."""
    value = base64.b64decode(str(entry["value"]))
    return StoredObject(str(entry["key"]), value, int(str(entry["version"])))
