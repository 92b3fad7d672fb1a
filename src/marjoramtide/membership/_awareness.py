"""Local health awareness (Lifeguard)."""

import attrs


@attrs.define(slots=True, eq=False, repr=False)
class Awareness:
    """Local health multiplier (Lifeguard, 2018, section IV-A).

    Failed probes, missing nacks of helpers and suspicions of this node indicate that this node
    itself is slow. It then probes less often and with longer timeouts, so that an overloaded node
    does not suspect healthy members.
    """

    max_score: int
    score: int = 0

    def adjust(self, delta: int) -> None:
        self.score = min(self.max_score, max(0, self.score + delta))

    @property
    def multiplier(self) -> int:
        return 1 + self.score
