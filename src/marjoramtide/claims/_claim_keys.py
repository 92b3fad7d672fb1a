"""Where claims are stored."""

import hashlib

from marjoramtide.errors import ErrorCode, MarjoramtideError

PREFIX = "claims"
SLICES = 16**4
MAX_KEY_CHARACTERS = 255


def claim_key(service: str, idempotency_key: str, workspace: str = "") -> str:
    """Return the object's key: ``claims/{slice}/{service}/{hash}``.

    The hash bounds what a caller can put into a key of the store; a 128-bit BLAKE2b does not
    collide by accident or on purpose within reach. The slice, its first four hex digits, lets a
    cleaner list a small part of all claims at a time. Callers of different workspaces may choose
    the same key, and never meet each other's claims. Raises ``bad-request``.
    """
    if not 0 < len(idempotency_key) <= MAX_KEY_CHARACTERS:
        raise MarjoramtideError(
            ErrorCode.BAD_REQUEST,
            f"Idempotency-Key has {len(idempotency_key)} characters; 1 to {MAX_KEY_CHARACTERS} "
            "are allowed",
            step="claims.acquire",
        )
    # A line feed stands in no name of a workspace.
    named = f"{workspace}\n{idempotency_key}" if workspace else idempotency_key
    hashed = hashlib.blake2b(named.encode(errors="surrogatepass"), digest_size=16, person=b"claim")
    digest = hashed.hexdigest()
    return f"{PREFIX}/{digest[:4]}/{service}/{digest}"


def slice_prefix(number: int) -> str:
    """Return the prefix of one slice; ``number`` counts from 0 and wraps around."""
    return f"{PREFIX}/{number % SLICES:04x}/"
