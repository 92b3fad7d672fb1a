"""The client of the platform's object store: its interface, and how it handles failed calls."""

from marjoramtide.store._call import Call, CallOutcome, StoreResponse
from marjoramtide.store._default_protocol import DefaultStoreProtocol
from marjoramtide.store._http_object_store import HttpObjectStore, open_object_store
from marjoramtide.store._listing import Listing
from marjoramtide.store._object_store import ObjectStore
from marjoramtide.store._resolution import Resolution
from marjoramtide.store._resolved_write import create_resolved, update_resolved
from marjoramtide.store._store_limits import StoreLimits
from marjoramtide.store._store_protocol import ListPage, StoreProtocol, WatchResponse
from marjoramtide.store._stored_object import StoredObject
from marjoramtide.store._versions import epoch_of
from marjoramtide.store._watch_event import WatchEvent

__all__ = [
    "Call",
    "CallOutcome",
    "DefaultStoreProtocol",
    "HttpObjectStore",
    "ListPage",
    "Listing",
    "ObjectStore",
    "Resolution",
    "StoreLimits",
    "StoreProtocol",
    "StoreResponse",
    "StoredObject",
    "WatchEvent",
    "WatchResponse",
    "create_resolved",
    "epoch_of",
    "open_object_store",
    "update_resolved",
]
