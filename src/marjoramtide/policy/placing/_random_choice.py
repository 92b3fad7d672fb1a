"""Random selection."""

from collections.abc import Collection

import attrs

from marjoramtide.policy._call_profile import CallProfile
from marjoramtide.policy.placing._counting_selector import CountingSelector


@attrs.define(slots=True, eq=False, repr=False)
class RandomChoice(CountingSelector):
    """Chooses a member uniformly at random."""

    def choose(
        self, profile: CallProfile, now: float, excluded: Collection[str] = ()
    ) -> str | None:
        candidates = self.candidates(excluded)
        return self.rng.choice(candidates) if candidates else None
