"""What the store held of evacuations at one version of it."""

import attrs


@attrs.frozen(slots=True)
class EvacuationSnapshot:
    """The names of all data centres that were evacuated at a version of the store.

    ``kept_s`` holds those that a copy of the store lacks and that are evacuated all the same, with
    the seconds for which they still are.
    """

    version: int = 0
    names: frozenset[str] = frozenset()
    held_s: tuple[tuple[str, float], ...] = ()
