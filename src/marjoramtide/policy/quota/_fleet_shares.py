"""What share of the fleet each data centre is, by the nodes that are seen there."""

from collections import Counter
from collections.abc import Iterable

import attrs

# A node that fell silent may serve on where this one can't see it. It is counted for so long, in
# seconds, unless it said that it leaves or another one has taken its address.
REMEMBERED_S = 60.0


@attrs.define(slots=True, eq=False, repr=False)
class FleetShares:
    """Divides what all nodes together may do among data centres.

    Failure: two halves of a fleet lose each other, and each takes the other one for dead. By the
    nodes that each can see, both would admit a whole limit, twice what was agreed. By those that
    are known, each has its own part, and so all together have no more than the whole.
    """

    present: dict[str, str] = attrs.Factory(dict)
    silent: dict[str, float] = attrs.Factory(dict)

    def node_seen(self, address: str, data_centre: str) -> None:
        """Note that a node is there."""
        self.present[address] = data_centre
        self.silent.pop(address, None)

    def node_left(self, address: str) -> None:
        """Note that a node has said that it leaves."""
        self.present.pop(address, None)
        self.silent.pop(address, None)

    def node_lost(self, address: str, now: float) -> None:
        """Note that a node has fallen silent."""
        if self.present.pop(address, None) is not None:
            self.silent[address] = now + REMEMBERED_S

    def share(self, data_centre: str, now: float, least_known: int = 1) -> float:
        """Return the share (0 to 1) of the fleet that is seen in a data centre.

        ``least_known`` is how many nodes there are as far as is known otherwise.
        """
        known = max(len(self.present) + self._silent(now), least_known)
        return self._counts(self.present.values())[data_centre] / known

    def data_centres(self) -> list[str]:
        return sorted(set(self.present.values()))

    def _silent(self, now: float) -> int:
        self.silent = {each: until for each, until in self.silent.items() if until > now}
        return len(self.silent)

    def _counts(self, places: Iterable[str]) -> Counter[str]:
        return Counter(places)
