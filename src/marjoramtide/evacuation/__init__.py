"""Evacuated data centres and the store's epoch, read by some nodes and sent to all others."""

from marjoramtide.evacuation._evacuation_record import EvacuationRecord
from marjoramtide.evacuation._evacuation_service import EvacuationService, make_evacuation_service
from marjoramtide.evacuation._store_bulletin import StoreBulletin, is_store_bulletin

__all__ = [
    "EvacuationRecord",
    "EvacuationService",
    "StoreBulletin",
    "is_store_bulletin",
    "make_evacuation_service",
]
