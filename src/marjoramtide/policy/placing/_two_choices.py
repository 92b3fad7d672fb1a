"""Selection by the power of two choices."""

from collections.abc import Collection

import attrs

from marjoramtide.policy._call_profile import CallProfile
from marjoramtide.policy.placing._counting_selector import CountingSelector


@attrs.define(slots=True, eq=False, repr=False)
class TwoChoices(CountingSelector):
    """Chooses the less loaded of two random members (Mitzenmacher, 2001).

    The load of a member is its number of outstanding requests.
    """

    def choose(
        self, profile: CallProfile, now: float, excluded: Collection[str] = ()
    ) -> str | None:
        candidates = self.candidates(excluded)
        drawn = self.rng.sample(candidates, min(2, len(candidates)))
        return min(drawn, key=self.outstanding.__getitem__, default=None)
