"""One revision of the settings tree, as it is stored and sent between nodes."""

import hashlib
import json

import attrs

from marjoramtide.checked import MalformedError, parse_json, structure_as
from marjoramtide.errors import ErrorCode, MarjoramtideError

FORMAT = 1
MAX_RECENT_CHANGES = 100
MAX_ENVELOPE_BYTES = 1_000_000
DIGEST_LENGTH = 16


@attrs.frozen(slots=True)
class RecentChange:
    """Summary of a change for operators, kept for the last ``MAX_RECENT_CHANGES`` revisions."""

    revision: int
    change: str
    author: str
    time: float
    branches: list[str]


@attrs.frozen(slots=True)
class Envelope:
    """A revision: its TOML text, and its position among the other revisions.

    ``lineage`` is a random id drawn when the first revision is written; revisions of different
    lineages are unrelated. ``change`` is the id of the change that made this revision, ``time`` is
    in seconds since the Unix epoch, ``parent`` the digest of the previous revision.
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
        """Return a short hash of everything that defines the revision."""
        parts = [self.lineage, str(self.revision), self.change, self.parent, self.text]
        return hashlib.sha256("\0".join(parts).encode()).hexdigest()[:DIGEST_LENGTH]

    def find_change(self, change: str) -> "RecentChange | None":
        """Return the entry of a change if it is part of this revision."""
        return next((entry for entry in self.recent if entry.change == change), None)

    def encode(self) -> bytes:
        """Return the stored form; raises ``bad-settings`` if it exceeds the size limit."""
        encoded = json.dumps(attrs.asdict(self), separators=(",", ":")).encode()
        if len(encoded) > MAX_ENVELOPE_BYTES:
            raise MarjoramtideError(
                ErrorCode.BAD_SETTINGS,
                f"the tree takes {len(encoded)} bytes; allowed: {MAX_ENVELOPE_BYTES}",
                step="settings.encode",
            )
        return encoded


def decode_envelope(data: bytes) -> Envelope:
    """Parse the stored form; raises ``bad-settings`` if this version can't read it."""
    try:
        return structure_as(Envelope, parse_json(data))
    except MalformedError as error:
        raise MarjoramtideError(
            ErrorCode.BAD_SETTINGS, f"not a settings envelope: {error}", step="settings.decode"
        ) from error
