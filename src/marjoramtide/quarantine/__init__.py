"""Holds back requests that crash backend servers, on all nodes of a service."""

from marjoramtide.quarantine._quarantine_service import QuarantineService, make_quarantine_service
from marjoramtide.quarantine._report_codec import (
    is_quarantine_bulletin,
    pack_suspect_reports,
    unpack_suspect_reports,
)

__all__ = [
    "QuarantineService",
    "is_quarantine_bulletin",
    "make_quarantine_service",
    "pack_suspect_reports",
    "unpack_suspect_reports",
]
