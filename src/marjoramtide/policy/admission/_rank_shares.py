"""What share of a server's work each class and rank takes."""

import attrs

from marjoramtide.policy._call_profile import CallProfile

# The weight of one start: the shares are those of some twenty starts, whatever time these take.
WEIGHT = 0.05

Place = tuple[bool, int]
"""A class, routine after urgent, and a rank in it: what is smaller goes first."""


@attrs.define(slots=True, eq=False, repr=False)
class RankShares:
    """The work that was started of late, by what goes first."""

    work_ms: dict[Place, float] = attrs.Factory(dict)

    def started(self, profile: CallProfile, work_ms: float) -> None:
        """Note that a request began which needs so much undisturbed work."""
        for place in self.work_ms:
            self.work_ms[place] *= 1 - WEIGHT
        own = place_of(profile)
        self.work_ms[own] = self.work_ms.get(own, 0.0) + WEIGHT * work_ms

    def before(self, profile: CallProfile) -> float:
        """Return the share (0 to 1) of the work that goes before such a request, if it comes."""
        total = sum(self.work_ms.values())
        own = place_of(profile)
        first = sum(work for place, work in self.work_ms.items() if place < own)
        return first / total if total else 0.0


def place_of(profile: CallProfile) -> Place:
    """Return what decides, before anything else, which of two requests goes first."""
    return not profile.urgent, profile.rank
