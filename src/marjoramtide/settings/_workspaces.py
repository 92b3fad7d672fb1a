"""The workspaces of a settings tree, and whom a key belongs to."""

import hashlib
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

from marjoramtide.settings._workspace_settings import WorkspaceSettings

DIGEST_KIND = "sha256:"
FINGERPRINT_CHARACTERS = 12
WORKSPACE_KEYS = frozenset(field.name for field in attrs.fields(WorkspaceSettings)) - {"name"}


@attrs.frozen(slots=True, repr=False)
class Workspaces:
    """Looks workspaces up by their names and by callers' keys."""

    by_name: dict[str, WorkspaceSettings] = attrs.Factory(dict)
    by_digest: dict[str, WorkspaceSettings] = attrs.Factory(dict)

    def __len__(self) -> int:
        return len(self.by_name)

    def __iter__(self) -> Iterator[WorkspaceSettings]:
        return iter(self.by_name.values())

    def find_by_key(self, key: str) -> WorkspaceSettings | None:
        """Return the workspace that a key opens, ``None`` where it opens none.

        By its digest: how long a look-up takes tells nothing of how much of a key was right.
        """
        return self.by_digest.get(key_digest(key))


def key_digest(key: str) -> str:
    """Return the digest by which the settings tree holds a caller's key."""
    return DIGEST_KIND + hashlib.sha256(key.encode(errors="surrogateescape")).hexdigest()


def key_fingerprint(digest: str) -> str:
    """Return the beginning of a digest, by which operators tell keys from each other."""
    return digest.removeprefix(DIGEST_KIND)[:FINGERPRINT_CHARACTERS]


def make_workspaces(resolved: Iterable[tuple[str, dict[str, Any]]]) -> Workspaces:
    """Return the workspaces by their names and resolved values."""
    found = [
        WorkspaceSettings(name, **{key: values[key] for key in WORKSPACE_KEYS})
        for name, values in resolved
    ]
    return Workspaces(
        {each.name: each for each in found},
        {digest: each for each in found for digest in each.key_digests},
    )
