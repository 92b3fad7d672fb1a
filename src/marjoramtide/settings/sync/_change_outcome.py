"""The result of an accepted change."""

import attrs


@attrs.frozen(slots=True, kw_only=True)
class ChangeOutcome:
    """The revision that contains the change, and the members where it isn't in force yet.

    ``rebased`` is true if other branches were changed concurrently, ``repeated`` if the same change
    was accepted before, ``unchanged`` if the tree has the requested content already.
    """

    change: str
    revision: int
    laggards: tuple[str, ...] = ()
    rebased: bool = False
    repeated: bool = False
    unchanged: bool = False

    @property
    def in_force(self) -> bool:
        return not self.laggards
