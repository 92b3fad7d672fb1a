"""The result of listing objects."""

from collections.abc import Iterable

from marjoramtide.store._stored_object import StoredObject


class Listing(list[StoredObject]):
    """Objects, and the version of the store at which they were read.

    A watch must resume from ``version``, not from the newest object listed: if the newest change
    was a deletion, no object has its version, and a watch from an older version could hit the same
    gap in the history after every new list.
    """

    def __init__(self, objects: Iterable[StoredObject] = (), version: int = 0) -> None:
        super().__init__(objects)
        self.version = version
