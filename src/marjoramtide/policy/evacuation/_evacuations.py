"""The data centres that are evacuated, as far as a node knows."""

import attrs

from marjoramtide.policy.evacuation._evacuated import Evacuated
from marjoramtide.store import epoch_of

# For how long an evacuation is held to that a copy of the store lacks, in seconds. The operator
# writes it again within seconds, unless it has been taken back.
KEPT_S = 20.0


@attrs.define(slots=True, eq=False, repr=False)
class Evacuations:
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

    told: Evacuated = attrs.Factory(Evacuated)
    kept_until: dict[str, float] = attrs.Factory(dict)
    seen: set[str] = attrs.Factory(set)

    def take(self, heard: Evacuated, now: float) -> bool:
        """Take in what was told; return whether names or the store's epoch have changed by it."""
        if heard.version < self.told.version:
            return False
        before = (epoch_of(self.told.version), self.told.names | self.kept_until.keys())
        if epoch_of(heard.version) > epoch_of(self.told.version):
            self.seen.clear()
            for name in self.told.names:
                self.kept_until[name] = now + KEPT_S
        if heard.version > self.told.version:
            self.told = Evacuated(heard.version, heard.names)
            self.seen |= heard.names
        for name, left_s in heard.kept_s:
            self.kept_until.setdefault(name, now + min(left_s, KEPT_S))
        self._forget(now)
        return before != (epoch_of(self.told.version), self.told.names | self.kept_until.keys())

    def in_force(self, now: float) -> frozenset[str]:
        """Return the names of the data centres that are evacuated."""
        self._forget(now)
        return self.told.names | self.kept_until.keys()

    def tell(self, now: float) -> Evacuated:
        """Return what other nodes are told."""
        kept = tuple((name, until - now) for name, until in sorted(self.kept_until.items()))
        return attrs.evolve(self.told, kept_s=kept)

    def next_change(self) -> float | None:
        """Return when one that is held to will be given up, if nothing is heard of it."""
        return min(self.kept_until.values(), default=None)

    def _forget(self, now: float) -> None:
        """Forget what is held to, once the store has had it or its time is over."""
        self.kept_until = {
            name: until
            for name, until in self.kept_until.items()
            if until > now and name not in self.seen
        }
