"""The platform's object API as the product sees it."""

from marjoramtide.platform._object_store import ObjectStore
from marjoramtide.platform._stored_object import StoredObject
from marjoramtide.platform._watch_event import WatchEvent

__all__ = ["ObjectStore", "StoredObject", "WatchEvent"]
