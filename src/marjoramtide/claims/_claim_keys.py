"""Keys of claims in the store."""

import hashlib

from marjoramtide.errors import ErrorCode, MarjoramtideError

PREFIX = "claims"
SLICES = 16**4
MAX_KEY_CHARACTERS = 255


def claim_key(service: str, idempotency_key: str, workspace: str = "") -> str:
    """Return the object's key: ``claims/{slice}/{service}/{hash}``.

    The hash limits the length and characters of the object's key; collisions of a 128-bit BLAKE2b
    are infeasible, accidental or deliberate. The slice, the first four hex digits of the hash, lets
    a cleaner list a small part of all claims at a time. The workspace is hashed too, so that equal
    keys of different workspaces do not collide. Raises ``bad-request`` for an invalid key.
    """
    if not 0 < len(idempotency_key) <= MAX_KEY_CHARACTERS:
        raise MarjoramtideError(
            ErrorCode.BAD_REQUEST,
            f"Idempotency-Key has {len(idempotency_key)} characters; 1 to {MAX_KEY_CHARACTERS} "
            "are allowed",
            step="claims.acquire",
        )
    # Names of workspaces contain no line feed.
    hashed_text = f"{workspace}\n{idempotency_key}" if workspace else idempotency_key
    hasher = hashlib.blake2b(
        hashed_text.encode(errors="surrogatepass"), digest_size=16, person=b"claim"
    )
    digest = hasher.hexdigest()
    return f"{PREFIX}/{digest[:4]}/{service}/{digest}"


def slice_prefix(number: int) -> str:
    """Return the key prefix of a slice; ``number`` starts at 0 and wraps around."""
    return f"{PREFIX}/{number % SLICES:04x}/"
