"""The platform's object API as the product sees it."""

from marjoramtide.platform._http_object_store import HttpObjectStore, open_object_store
from marjoramtide.platform._listing import Listing
from marjoramtide.platform._object_store import ObjectStore
from marjoramtide.platform._store_limits import StoreLimits
from marjoramtide.platform._stored_object import StoredObject
from marjoramtide.platform._watch_event import WatchEvent

__all__ = [
    "HttpObjectStore",
    "Listing",
    "ObjectStore",
    "StoreLimits",
    "StoredObject",
    "WatchEvent",
    "open_object_store",
]
