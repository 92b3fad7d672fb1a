"""What became of an accepted change."""

import attrs


@attrs.frozen(slots=True, kw_only=True)
class ChangeOutcome:
    """The revision that contains the change, and the members where it isn't in force yet.

    ``rebased`` is true where others changed different branches meanwhile, ``repeated`` where the
    change had been accepted before, ``unchanged`` where the tree says this already.
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
