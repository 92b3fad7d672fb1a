"""Fingerprints by which retries of a request are recognised."""

import hashlib
import itertools
from collections.abc import Iterable

from marjoramtide.exchange._request import Request
from marjoramtide.exchange._request_body import RequestBody

# Headers that distinguish the requests of different callers. All others may vary between attempts
# (ids, dates, traces), and a request whose fingerprint varies would never be recognised.
IDENTITY_HEADERS = frozenset(("authorization", "host"))
FINGERPRINT_BYTES = 8


class Fingerprinter:
    """Computes a 64-bit hash of the parts of a request that stay the same when it is retried.

    These are its service, workspace, method, target, body and ``IDENTITY_HEADERS``. Of a long body
    only the length is used, since no more is known before the request is admitted.

    The hash is BLAKE2b (RFC 7693) with the fleet's key: all nodes of a fleet compute the same hash,
    and no caller can construct a request with the hash of another caller's.
    """

    def __init__(self, key: str) -> None:
        self.key = hashlib.blake2b(key.encode(), digest_size=32, person=b"mt-fingerprint").digest()

    def of(self, request: Request, body: RequestBody) -> int:
        """Return the fingerprint of a request."""
        identity: Iterable[str] = (
            f"{name.lower()}:{value}"
            for name, value in request.headers
            if name.lower() in IDENTITY_HEADERS
        )
        if request.workspace:
            identity = itertools.chain(identity, (f"workspace:{request.workspace}",))
        # No method, target or header contains a line feed, so the parts can't be confused.
        head = "\n".join((request.service, request.method, request.target, *identity, ""))
        digest = hashlib.blake2b(
            head.encode(errors="surrogateescape"), digest_size=FINGERPRINT_BYTES, key=self.key
        )
        digest.update(body.fingerprint_input)
        return int.from_bytes(digest.digest())
