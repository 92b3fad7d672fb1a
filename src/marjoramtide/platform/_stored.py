"""The parts of the platform store's responses that nodes read."""

from typing import Any

import attrs
from attrs.validators import ge, max_len, min_len

# Longer than any name that nodes write; names must fit into the path of a call.
MAX_NAME_CHARACTERS = 512

LISTED_FIELDS = {"items": "items", "HasMore": "has_more", "CurrentRev": "revision"}
WATCHED_FIELDS = {"events": "events", "CurrentRev": "revision"}
METADATA_FIELDS = {"Name": "name", "Revision": "revision"}


@attrs.frozen(slots=True)
class Listed:
    """A page of a list, and the store's revision; entries are decoded separately."""

    items: list[Any]
    revision: int = attrs.field(validator=ge(0))
    has_more: bool = False


@attrs.frozen(slots=True)
class Watched:
    """The changes of a watch, and the store's revision; entries are decoded separately."""

    events: list[Any]
    revision: int = attrs.field(validator=ge(0))


@attrs.frozen(slots=True)
class ObjectChange:
    """A change of an object; for a removal, ``object`` is its last state."""

    removed: bool
    object: Any


@attrs.frozen(slots=True)
class ObjectMetadata:
    """The name of an object within its kind, and the store's revision of its last change."""

    name: str = attrs.field(validator=[min_len(1), max_len(MAX_NAME_CHARACTERS)])
    revision: int = attrs.field(validator=ge(0))


@attrs.frozen(slots=True)
class TextValue:
    """A specification of this project with a text value."""

    text: str


@attrs.frozen(slots=True)
class BytesValue:
    """A specification of this project with a base64-encoded value."""

    base64: str
