"""Selection by the fewest outstanding requests."""

from collections.abc import Collection

import attrs

from marjoramtide.policy._call_profile import CallProfile
from marjoramtide.policy.placing._counting_selector import CountingSelector


@attrs.define(slots=True, eq=False, repr=False)
class LeastOutstanding(CountingSelector):
    """Chooses the member with the fewest outstanding requests; ties are broken at random."""

    def choose(
        self, profile: CallProfile, now: float, excluded: Collection[str] = ()
    ) -> str | None:
        candidates = self.candidates(excluded)
        if not candidates:
            return None
        fewest = min(self.outstanding[node] for node in candidates)
        return self.rng.choice([node for node in candidates if self.outstanding[node] == fewest])
