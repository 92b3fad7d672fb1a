"""An object as the platform's store holds it."""

import attrs


@attrs.frozen(slots=True)
class StoredObject:
    """A value under a key at one version.

    ``version`` is opaque but for equality and order: a later write of the same key has a larger
    one. ``value`` is at most 1 MB.
    """

    key: str
    value: bytes
    version: int
