"""What became of a write whose answers may have been lost."""

import attrs

from marjoramtide.store._stored_object import StoredObject


@attrs.frozen(slots=True)
class Resolution:
    """The object under the key after the write was decided; ``is_own`` where the writer won.

    ``stored`` is what the store last showed, so it may be newer than the writer's own value.
    """

    is_own: bool
    stored: StoredObject
