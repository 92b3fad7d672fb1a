"""Round-robin selection."""

from collections.abc import Collection

import attrs

from marjoramtide.policy._call_profile import CallProfile
from marjoramtide.policy.placing._counting_selector import CountingSelector


@attrs.define(slots=True, eq=False, repr=False)
class RoundRobin(CountingSelector):
    """Chooses the members in turn, starting at a random one."""

    position: int = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.position = self.rng.randrange(1 << 16)

    def choose(
        self, profile: CallProfile, now: float, excluded: Collection[str] = ()
    ) -> str | None:
        candidates = self.candidates(excluded)
        if not candidates:
            return None
        self.position += 1
        return candidates[self.position % len(candidates)]
