"""The workspaces of a settings tree, and the owners of API keys."""

import hashlib
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

from marjoramtide.settings._workspace_settings import WorkspaceSettings

DIGEST_PREFIX = "sha256:"
FINGERPRINT_LENGTH = 12
WORKSPACE_KEYS = frozenset(field.name for field in attrs.fields(WorkspaceSettings)) - {"name"}


@attrs.frozen(slots=True, repr=False)
class Workspaces:
    """Finds workspaces by name and by API key."""

    by_name: dict[str, WorkspaceSettings] = attrs.Factory(dict)
    by_digest: dict[str, WorkspaceSettings] = attrs.Factory(dict)

    def __len__(self) -> int:
        return len(self.by_name)

    def __iter__(self) -> Iterator[WorkspaceSettings]:
        return iter(self.by_name.values())

    def find_by_key(self, key: str) -> WorkspaceSettings | None:
        """Return the workspace that an API key belongs to, or ``None``.

        Looked up by its digest, so that the duration reveals nothing about a partially right key.
        """
        return self.by_digest.get(key_digest(key))


def key_digest(key: str) -> str:
    """Return the digest that the settings tree stores for an API key."""
    return DIGEST_PREFIX + hashlib.sha256(key.encode(errors="surrogateescape")).hexdigest()


def key_fingerprint(digest: str) -> str:
    """Return a prefix of a digest by which operators tell keys apart."""
    return digest.removeprefix(DIGEST_PREFIX)[:FINGERPRINT_LENGTH]


def make_workspaces(resolved: Iterable[tuple[str, dict[str, Any]]]) -> Workspaces:
    """Return the workspaces from their names and resolved values."""
    found = [
        WorkspaceSettings(name, **{key: values[key] for key in WORKSPACE_KEYS})
        for name, values in resolved
    ]
    return Workspaces(
        {each.name: each for each in found},
        {digest: each for each in found for digest in each.key_digests},
    )
