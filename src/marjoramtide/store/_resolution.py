"""The outcome of a write whose responses may have been lost."""

import attrs

from marjoramtide.store._stored_object import StoredObject


@attrs.frozen(slots=True)
class Resolution:
    """The object under the key after the write; ``is_own`` if the write took effect.

    ``stored`` is the state last read, which may be newer than the writer's own value.
    """

    is_own: bool
    stored: StoredObject
