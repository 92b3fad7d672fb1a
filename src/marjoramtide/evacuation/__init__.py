"""Evacuated data centres, and the store's epoch: read by some nodes, told to all."""

from marjoramtide.evacuation._evacuation_record import EvacuationRecord
from marjoramtide.evacuation._evacuation_service import EvacuationService, make_evacuations
from marjoramtide.evacuation._store_news import StoreNews, is_store_news

__all__ = [
    "EvacuationRecord",
    "EvacuationService",
    "StoreNews",
    "is_store_news",
    "make_evacuations",
]
