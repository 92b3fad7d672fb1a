"""The data centres that are evacuated, as far as a node knows."""

import attrs

from marjoramtide.policy.evacuation._evacuation_snapshot import EvacuationSnapshot
from marjoramtide.store import epoch_of

# For how long an evacuation is held to that a copy of the store lacks, in seconds. The operator
# writes it again within seconds, unless it has been taken back.
EVACUATION_HOLD_S = 20.0


@attrs.define(slots=True, eq=False, repr=False)
class EvacuationState:
    """Keeps the newest of what was told, whatever way and in whatever order it came.

    All names at one version of the store are one piece of news, so that a name which was added,
    taken back and added again between two looks needs no history, and the higher version is right.

    A store that comes back from a copy may lack an evacuation that was acknowledged. Held to for
    ``KEPT_S``, it costs the capacity of a data centre for as long if it has been taken back
    meanwhile; dropped, it sends work to servers which the operator was told get none. One that the
    copy has again, although it was taken back, is held to until it is taken back anew.

    ``seen`` are the names that the store has had in this epoch: of these its word alone counts, and
    a node that missed the operator's second order and its end brings none of them back.

    Times are in seconds of the monotonic clock.
    """

    latest: EvacuationSnapshot = attrs.Factory(EvacuationSnapshot)
    held_until: dict[str, float] = attrs.Factory(dict)
    seen: set[str] = attrs.Factory(set)

    def merge(self, heard: EvacuationSnapshot, now: float) -> bool:
        """Take in what was told; return whether names or the store's epoch have changed by it."""
        if heard.version < self.latest.version:
            return False
        before = (epoch_of(self.latest.version), self.latest.names | self.held_until.keys())
        if epoch_of(heard.version) > epoch_of(self.latest.version):
            self.seen.clear()
            for name in self.latest.names:
                self.held_until[name] = now + EVACUATION_HOLD_S
        if heard.version > self.latest.version:
            self.latest = EvacuationSnapshot(heard.version, heard.names)
            self.seen |= heard.names
        for name, left_s in heard.held_s:
            self.held_until.setdefault(name, now + min(left_s, EVACUATION_HOLD_S))
        self._forget(now)
        return before != (epoch_of(self.latest.version), self.latest.names | self.held_until.keys())

    def in_force(self, now: float) -> frozenset[str]:
        """Return the names of the data centres that are evacuated."""
        self._forget(now)
        return self.latest.names | self.held_until.keys()

    def snapshot(self, now: float) -> EvacuationSnapshot:
        """Return what other nodes are told."""
        kept = tuple((name, until - now) for name, until in sorted(self.held_until.items()))
        return attrs.evolve(self.latest, held_s=kept)

    def next_expiry(self) -> float | None:
        """Return when one that is held to will be given up, if nothing is heard of it."""
        return min(self.held_until.values(), default=None)

    def _forget(self, now: float) -> None:
        """Forget what is held to, once the store has had it or its time is over."""
        self.held_until = {
            name: until
            for name, until in self.held_until.items()
            if until > now and name not in self.seen
        }
