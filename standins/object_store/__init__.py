"""A stand-in for the platform's object store API, with fault injection."""

from standins.object_store._app import ObjectStoreServer, make_app, make_server
from standins.object_store._faults import Faults
from standins.object_store._state import StoreState

__all__ = ["Faults", "ObjectStoreServer", "StoreState", "make_app", "make_server"]
