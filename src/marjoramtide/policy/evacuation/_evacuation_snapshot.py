"""The evacuations at one version of the store."""

import attrs


@attrs.frozen(slots=True)
class EvacuationSnapshot:
    """The names of all data centres that were evacuated at a version of the store.

    ``held_s`` contains those that a restored store lacks and that are still treated as evacuated,
    with the remaining seconds.
    """

    version: int = 0
    names: frozenset[str] = frozenset()
    held_s: tuple[tuple[str, float], ...] = ()
