"""The evacuated data centres that a node knows of."""

import attrs

from marjoramtide.policy.evacuation._evacuation_snapshot import EvacuationSnapshot
from marjoramtide.store import epoch_of

# How long an evacuation stays in force that a restored store lacks, in seconds. The operator writes
# it again within seconds, unless it was revoked.
EVACUATION_HOLD_S = 20.0


@attrs.define(slots=True, eq=False, repr=False)
class EvacuationState:
    """Keeps the newest snapshot, whatever the source and order in which snapshots arrive.

    All names at one version of the store form one snapshot, so a name that was added, removed and
    added again between two reads needs no history, and the higher version is right.

    A store that is restored from a backup may lack an evacuation that was acknowledged. If it stays
    in force for ``EVACUATION_HOLD_S``, this costs the capacity of a data centre for that time if it
    was revoked meanwhile; if it were dropped, requests would be sent to servers after the operator
    has received the acknowledgement that they get none. An evacuation that the backup contains
    again, although it was revoked, stays in force until it is revoked again.

    ``seen`` are the names that the store has contained in this epoch: for these only the store
    counts, so a node that missed that an evacuation was written again and then revoked doesn't
    restore it.

    Times are in seconds of the monotonic clock.
    """

    latest: EvacuationSnapshot = attrs.Factory(EvacuationSnapshot)
    held_until: dict[str, float] = attrs.Factory(dict)
    seen: set[str] = attrs.Factory(set)

    def merge(self, other: EvacuationSnapshot, now: float) -> bool:
        """Merge a snapshot; return whether the names or the store's epoch have changed."""
        if other.version < self.latest.version:
            return False
        previous = (epoch_of(self.latest.version), self.latest.names | self.held_until.keys())
        if epoch_of(other.version) > epoch_of(self.latest.version):
            self.seen.clear()
            for name in self.latest.names:
                self.held_until[name] = now + EVACUATION_HOLD_S
        if other.version > self.latest.version:
            self.latest = EvacuationSnapshot(other.version, other.names)
            self.seen |= other.names
        for name, left_s in other.held_s:
            self.held_until.setdefault(name, now + min(left_s, EVACUATION_HOLD_S))
        self._drop_held(now)
        return previous != (
            epoch_of(self.latest.version),
            self.latest.names | self.held_until.keys(),
        )

    def in_force(self, now: float) -> frozenset[str]:
        """Return the names of the data centres that are evacuated."""
        self._drop_held(now)
        return self.latest.names | self.held_until.keys()

    def snapshot(self, now: float) -> EvacuationSnapshot:
        """Return the snapshot for other nodes."""
        held = tuple((name, until - now) for name, until in sorted(self.held_until.items()))
        return attrs.evolve(self.latest, held_s=held)

    def next_expiry(self) -> float | None:
        """Return when the first of the held evacuations expires."""
        return min(self.held_until.values(), default=None)

    def _drop_held(self, now: float) -> None:
        """Drop held evacuations that the store has contained or that have expired."""
        self.held_until = {
            name: until
            for name, until in self.held_until.items()
            if until > now and name not in self.seen
        }
