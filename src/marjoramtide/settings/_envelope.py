"""One revision of the settings tree, as it is stored and passed between nodes."""

import hashlib
import json

import attrs

from marjoramtide.checked import MalformedError, parse_json, structure_as
from marjoramtide.errors import ErrorCode, MarjoramtideError

FORMAT = 1
RECENT_KEPT = 100
MAX_BYTES = 1_000_000
DIGEST_CHARACTERS = 16


@attrs.frozen(slots=True)
class RecentChange:
    """What operators want to know of a revision, kept for the last ``RECENT_KEPT`` of them."""

    revision: int
    change: str
    author: str
    time: float
    branches: list[str]


@attrs.frozen(slots=True)
class Envelope:
    """A revision: its TOML text, and what places it among the others.

    ``lineage`` is drawn when the first revision is written; two trees with different lineages have
    nothing to do with each other. ``change`` is the id of the change that made this revision,
    ``time`` is in seconds since the Unix epoch, ``parent`` the digest of the revision before.
    """

    revision: int
    lineage: str
    change: str
    author: str
    time: float
    parent: str
    recent: list[RecentChange]
    text: str
    format: int = FORMAT

    @property
    def digest(self) -> str:
        """Return a short hash of all that defines the revision."""
        parts = [self.lineage, str(self.revision), self.change, self.parent, self.text]
        return hashlib.sha256("\0".join(parts).encode()).hexdigest()[:DIGEST_CHARACTERS]

    def contains(self, change: str) -> "RecentChange | None":
        """Return the entry of a change that is part of this revision."""
        return next((entry for entry in self.recent if entry.change == change), None)

    def encode(self) -> bytes:
        """Return the stored form; raises ``bad-settings`` where it outgrows the store's limit."""
        encoded = json.dumps(attrs.asdict(self), separators=(",", ":")).encode()
        if len(encoded) > MAX_BYTES:
            raise MarjoramtideError(
                ErrorCode.BAD_SETTINGS,
                f"the tree takes {len(encoded)} bytes; allowed: {MAX_BYTES}",
                step="settings.encode",
            )
        return encoded


def decode_envelope(data: bytes) -> Envelope:
    """Read the stored form; raises ``bad-settings`` where it isn't one that this version knows."""
    try:
        return structure_as(Envelope, parse_json(data))
    except MalformedError as error:
        raise MarjoramtideError(
            ErrorCode.BAD_SETTINGS, f"not a settings envelope: {error}", step="settings.decode"
        ) from error
