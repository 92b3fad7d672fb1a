"""A fleet-wide rate limit per workspace: owner nodes lease tokens to the other nodes."""

from marjoramtide.quota._messages import is_quota_bulletin
from marjoramtide.quota._quota_service import QuotaService, make_quota_service

__all__ = [
    "QuotaService",
    "is_quota_bulletin",
    "make_quota_service",
]
