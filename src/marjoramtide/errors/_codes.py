"""The codes by which operators and programs tell errors apart."""

from enum import StrEnum


class ErrorCode(StrEnum):
    """What went wrong, as a stable word for logs, headers and exit codes.

    The incident guide under ``docs/operators`` explains each one, so a code is never renamed.
    """

    BAD_SETTINGS = "bad-settings"
    BAD_REQUEST = "bad-request"
    UNKNOWN_SERVICE = "unknown-service"
    DEPTH_EXCEEDED = "depth-exceeded"
    BODY_TOO_LARGE = "body-too-large"
    HEAD_TOO_LARGE = "head-too-large"
    SLOW_CALLER = "slow-caller"
    DEADLINE = "deadline"
    OVERLOADED = "overloaded"
    SLOWED = "slowed"
    RATE_LIMITED = "rate-limited"
    DRAINING = "draining"
    EVACUATED = "evacuated"
    QUARANTINED = "quarantined"
    STALE_SETTINGS = "stale-settings"
    NO_CANDIDATE = "no-candidate"
    CONNECT_FAILED = "connect-failed"
    PEER_LOST = "peer-lost"
    PEER_REFUSED = "peer-refused"
    BAD_FRAME = "bad-frame"
    BAD_KEY = "bad-key"
    BACKEND_FAILED = "backend-failed"
    TRUNCATED = "truncated"
    CANCELLED = "cancelled"
    DUPLICATE_KEY = "duplicate-key"
    KEY_REUSED = "key-reused"
    STORE_UNAVAILABLE = "store-unavailable"
    STORE_THROTTLED = "store-throttled"
    STORE_AMBIGUOUS = "store-ambiguous"
    VERSION_CONFLICT = "version-conflict"
    NOT_FOUND = "not-found"
    BRANCH_CONFLICT = "branch-conflict"
    MEMBER_UNREACHABLE = "member-unreachable"
    NOT_IN_FORCE = "not-in-force"
    INTERNAL = "internal"
