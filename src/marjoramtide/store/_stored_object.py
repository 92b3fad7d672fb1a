"""An object in the store."""

import attrs


@attrs.frozen(slots=True)
class StoredObject:
    """A value under a key at one version.

    ``version`` is opaque except for equality and order: a later write of the same key has a larger
    version. ``value`` is at most 1 MB.
    """

    key: str
    value: bytes
    version: int
