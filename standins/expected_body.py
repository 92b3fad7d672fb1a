"""The expected response body, computed by the stand-in and by its callers alike."""

import hashlib


def expected_body(request_id: str, size: int) -> bytes:
    """Return ``size`` bytes that depend on every character of ``request_id``.

    The bodies of two requests differ from the first bytes, so a caller can detect a truncated or
    mixed-up response and that of another request.
    """
    block = hashlib.sha256(request_id.encode()).hexdigest().encode()
    return (block * (size // len(block) + 1))[:size]
