"""The platform's object API as the product sees it."""

from marjoramtide.platform._http_object_store import HttpObjectStore, open_object_store
from marjoramtide.platform._listing import Listing
from marjoramtide.platform._object_store import ObjectStore
from marjoramtide.platform._resolution import Resolution
from marjoramtide.platform._resolved_write import create_resolved, update_resolved
from marjoramtide.platform._store_limits import StoreLimits
from marjoramtide.platform._stored_object import StoredObject
from marjoramtide.platform._watch_event import WatchEvent

__all__ = [
    "HttpObjectStore",
    "Listing",
    "ObjectStore",
    "Resolution",
    "StoreLimits",
    "StoredObject",
    "WatchEvent",
    "create_resolved",
    "open_object_store",
    "update_resolved",
]
