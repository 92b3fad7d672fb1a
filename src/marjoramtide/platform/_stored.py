"""What the platform's store answers with, as far as nodes read it."""

from typing import Any

import attrs
from attrs.validators import ge, max_len, min_len

# Above any name that we write; the path of a call must hold it.
MOST_NAME_CHARACTERS = 512

LISTED_FIELDS = {"items": "items", "HasMore": "has_more", "CurrentRev": "revision"}
WATCHED_FIELDS = {"events": "events", "CurrentRev": "revision"}
METADATA_FIELDS = {"Name": "name", "Revision": "revision"}


@attrs.frozen(slots=True)
class Listed:
    """A part of a list, and the store's revision; entries are read one by one."""

    items: list[Any]
    revision: int = attrs.field(validator=ge(0))
    has_more: bool = False


@attrs.frozen(slots=True)
class Watched:
    """What a watch has brought, and the store's revision; entries are read one by one."""

    events: list[Any]
    revision: int = attrs.field(validator=ge(0))


@attrs.frozen(slots=True)
class ObjectChange:
    """One change of an object, which is as it was before where it was removed."""

    removed: bool
    object: Any


@attrs.frozen(slots=True)
class ObjectMetadata:
    """The name of an object within its kind, and the store's revision at its last change."""

    name: str = attrs.field(validator=[min_len(1), max_len(MOST_NAME_CHARACTERS)])
    revision: int = attrs.field(validator=ge(0))


@attrs.frozen(slots=True)
class TextValue:
    """A specification that holds a value of ours as text."""

    text: str


@attrs.frozen(slots=True)
class BytesValue:
    """A specification that holds a value of ours as base64."""

    base64: str
