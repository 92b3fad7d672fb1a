"""Checks at short intervals that some node of the fleet reads the store, whoever watches it."""

from marjoramtide.storecheck._check_bulletin import CheckBulletin, is_check_bulletin
from marjoramtide.storecheck._check_schedule import CheckSchedule
from marjoramtide.storecheck._store_checker import StoreChecker, make_store_checker

__all__ = [
    "CheckBulletin",
    "CheckSchedule",
    "StoreChecker",
    "is_check_bulletin",
    "make_store_checker",
]
