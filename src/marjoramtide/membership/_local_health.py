"""How healthy this node itself is."""

import attrs


@attrs.define(slots=True, eq=False, repr=False)
class LocalHealth:
    """Local health multiplier (Lifeguard, 2018, section IV-A).

    Failed probes and missing answers of helpers are signs that this node is the slow one: it then
    probes more slowly and waits longer, so that an overloaded node does not accuse healthy ones.
    """

    limit: int
    score: int = 0

    def add(self, delta: int) -> None:
        self.score = min(self.limit, max(0, self.score + delta))

    @property
    def multiplier(self) -> int:
        return 1 + self.score
