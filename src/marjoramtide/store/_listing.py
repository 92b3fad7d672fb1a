"""The answer to a list."""

from collections.abc import Iterable

from marjoramtide.store._stored_object import StoredObject


class Listing(list[StoredObject]):
    """Objects, and the store's version at which they were read.

    A watch goes on from ``version``, not from the newest object listed: where the newest change was
    a deletion, no object carries its version, and a watch from an older one could meet the same gap
    in the history after every new list.
    """

    def __init__(self, objects: Iterable[StoredObject] = (), version: int = 0) -> None:
        super().__init__(objects)
        self.version = version
