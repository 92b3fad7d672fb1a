"""The base class of the baseline policies."""

import random
from collections.abc import Collection

import attrs

from marjoramtide.exchange import LoadReport
from marjoramtide.membership import Member
from marjoramtide.policy._call_profile import CallProfile
from marjoramtide.policy.placing._selector import Selector

RETRY_AFTER_RANGE_MS = (50, 150)


@attrs.define(slots=True, eq=False, repr=False)
class CountingSelector(Selector):
    """Counts the requests of this node that are outstanding at each member.

    The policies that serve for comparison derive from this class and differ in ``choose`` only. As
    in their published forms, they neither hedge nor eject.
    """

    rng: random.Random
    outstanding: dict[str, int] = attrs.Factory(dict)

    @property
    def nodes(self) -> list[str]:
        return list(self.outstanding)

    def candidates(self, excluded: Collection[str]) -> list[str]:
        """Return the members that may be chosen."""
        return [node for node in self.outstanding if node not in excluded]

    def update_members(self, members: Collection[Member], now: float) -> None:
        self.outstanding = {member.node: self.outstanding.get(member.node, 0) for member in members}

    def sent(self, node: str, now: float) -> None:
        if node in self.outstanding:
            self.outstanding[node] += 1

    def answered(
        self,
        node: str,
        report: LoadReport | None,
        elapsed_ms: float,
        succeeded: bool,
        now: float,
        *,
        served_ms: float | None = None,
        kind: str = "",
        work_ms: float = 0.0,
    ) -> None:
        self.note_finished(node)

    def rejected(
        self,
        node: str,
        report: LoadReport | None,
        retry_after_ms: int,
        now: float,
        *,
        elapsed_ms: float | None = None,
    ) -> None:
        self.note_finished(node)

    def lost(
        self,
        node: str,
        now: float,
        *,
        elapsed_ms: float | None = None,
        unreachable: bool = False,
    ) -> None:
        self.note_finished(node)

    def cancelled(self, node: str, now: float, *, elapsed_ms: float | None = None) -> None:
        self.note_finished(node)

    def note_finished(self, node: str) -> None:
        """Decrement the count of outstanding requests."""
        if self.outstanding.get(node, 0) > 0:
            self.outstanding[node] -= 1

    def hedge_delay_ms(
        self, node: str, now: float, profile: CallProfile | None = None
    ) -> float | None:
        return None

    def retry_after_ms(self, now: float) -> int:
        return self.rng.randint(*RETRY_AFTER_RANGE_MS)

    def explain(self, now: float) -> list[dict[str, object]]:
        return [{"node": node, "outstanding": count} for node, count in self.outstanding.items()]
