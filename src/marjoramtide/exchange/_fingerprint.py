"""Telling whether two requests are the same one, sent again."""

import hashlib
import itertools
from collections.abc import Iterable

from marjoramtide.exchange._request import Request
from marjoramtide.exchange._request_body import RequestBody

# Headers that tell one caller's request from another's. All others may differ from one attempt to
# the next (ids, dates, traces), and a request that looks new each time is never recognised.
IDENTITY_HEADERS = frozenset(("authorization", "host"))
FINGERPRINT_BYTES = 8


class Fingerprinter:
    """Makes a number of 64 bits of what stays the same when a request is sent again.

    That is its service, workspace, method, target, body and ``IDENTITY_HEADERS``. Of a long body it
    is the length: no more is known of one before the request is admitted.

    By BLAKE2b (RFC 7693) with the fleet's key: all nodes of a fleet make the same number of a
    request, and no caller can make up another request with the number of somebody else's.
    """

    def __init__(self, key: str) -> None:
        self.key = hashlib.blake2b(key.encode(), digest_size=32, person=b"mt-fingerprint").digest()

    def of(self, request: Request, body: RequestBody) -> int:
        """Return the fingerprint of a request."""
        who: Iterable[str] = (
            f"{name.lower()}:{value}"
            for name, value in request.headers
            if name.lower() in IDENTITY_HEADERS
        )
        if request.workspace:
            who = itertools.chain(who, (f"workspace:{request.workspace}",))
        # Line feeds stand in no method, target or header, so that no part runs into the next.
        head = "\n".join((request.service, request.method, request.target, *who, ""))
        digest = hashlib.blake2b(
            head.encode(errors="surrogateescape"), digest_size=FINGERPRINT_BYTES, key=self.key
        )
        digest.update(body.content)
        return int.from_bytes(digest.digest())
