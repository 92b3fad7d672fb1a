"""Requests that end backend servers: who was running, what all nodes know of it, who must wait."""

from marjoramtide.quarantine._news_codec import is_quarantine_news, pack_news, unpack_news
from marjoramtide.quarantine._quarantine_service import QuarantineService, make_quarantine

__all__ = [
    "QuarantineService",
    "is_quarantine_news",
    "make_quarantine",
    "pack_news",
    "unpack_news",
]
