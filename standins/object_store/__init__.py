"""A stand-in for the platform's object API, able to fail on command."""

from standins.object_store._app import make_app
from standins.object_store._faults import Faults
from standins.object_store._state import StoreState

__all__ = ["Faults", "StoreState", "make_app"]
