"""The body that an answer must have, known to the stand-in and to its callers alike."""

import hashlib


def expected_body(request_id: str, size: int) -> bytes:
    """Return ``size`` bytes that depend on every character of ``request_id``.

    A caller that compares them finds a truncated, mixed or foreign answer, since bodies of two
    requests differ from the first bytes on.
    """
    block = hashlib.sha256(request_id.encode()).hexdigest().encode()
    return (block * (size // len(block) + 1))[:size]
