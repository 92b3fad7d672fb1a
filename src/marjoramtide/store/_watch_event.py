"""A change that a watch reports."""

import attrs

from marjoramtide.store._stored_object import StoredObject


@attrs.frozen(slots=True)
class WatchEvent:
    """A change under a watched prefix; ``stored`` is ``None`` if the object was deleted."""

    key: str
    version: int
    stored: StoredObject | None
