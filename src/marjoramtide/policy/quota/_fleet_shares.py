"""Each data centre's share of the fleet, by its number of known nodes."""

from collections import Counter
from collections.abc import Iterable

import attrs

# A node that became unreachable may still serve in another partition. It is counted for this long,
# in seconds, unless it announced that it leaves or another node has taken its address.
RETENTION_S = 60.0


@attrs.define(slots=True, eq=False, repr=False)
class FleetShares:
    """Divides a fleet-wide limit among data centres.

    Failure: in a network partition each half of a fleet takes the other one for dead. If only
    reachable nodes counted, both halves would admit the whole limit, twice what is allowed. Since
    all known nodes count, each half keeps its own part of the limit.
    """

    present: dict[str, str] = attrs.Factory(dict)
    unreachable: dict[str, float] = attrs.Factory(dict)

    def node_seen(self, address: str, data_centre: str) -> None:
        """Record that a node is present."""
        self.present[address] = data_centre
        self.unreachable.pop(address, None)

    def node_left(self, address: str) -> None:
        """Record that a node has announced that it leaves."""
        self.present.pop(address, None)
        self.unreachable.pop(address, None)

    def node_lost(self, address: str, now: float) -> None:
        """Record that a node has become unreachable."""
        if self.present.pop(address, None) is not None:
            self.unreachable[address] = now + RETENTION_S

    def share(self, data_centre: str, now: float, min_known: int = 1) -> float:
        """Return the share (0 to 1) of the fleet that is present in a data centre.

        ``min_known`` is a minimum for the number of nodes, from another source.
        """
        known = max(len(self.present) + self._unreachable_count(now), min_known)
        return self._counts(self.present.values())[data_centre] / known

    def data_centres(self) -> list[str]:
        return sorted(set(self.present.values()))

    def _unreachable_count(self, now: float) -> int:
        self.unreachable = {each: until for each, until in self.unreachable.items() if until > now}
        return len(self.unreachable)

    def _counts(self, data_centres: Iterable[str]) -> Counter[str]:
        return Counter(data_centres)
