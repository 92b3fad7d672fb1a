"""Deletion of expired claims."""

import itertools
import random
from collections.abc import Callable

from marjoramtide.claims._claim_keys import SLICES, slice_prefix
from marjoramtide.claims._claim_record import decode_record
from marjoramtide.claims._retention import store_time
from marjoramtide.clock import Clock
from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.store import ObjectStore, StoredObject

INTERVAL_S = 10.0
FLEET_INTERVAL_S = 0.2
DELETES_PER_PASS = 200
CALL_TIMEOUT_S = 2.0


class ClaimCleaner:
    """Deletes expired claims, one slice of the key space at a time.

    Every node runs a cleaner, which starts at a random slice and does not coordinate with others.
    The whole fleet together lists a slice every ``FLEET_INTERVAL_S``, whatever its size. A slice
    holds about 100 KB of claims; if each of 790 nodes listed one every ``INTERVAL_S``, each would
    read 10 KB/s to scan every slice four times an hour, for claims that are kept for a day.
    ``fleet_size`` returns the number of nodes.
    """

    def __init__(
        self,
        store: ObjectStore,
        clock: Clock,
        rng: random.Random,
        fleet_size: Callable[[], int],
    ) -> None:
        self.store = store
        self.clock = clock
        self.rng = rng
        self.fleet_size = fleet_size
        self.next_slice = rng.randrange(SLICES)

    async def run(self) -> None:
        """Clean the slices in turn until cancelled."""
        # A node that has just started knows no other nodes yet, so the fleet would look small.
        await self.clock.sleep(INTERVAL_S)
        while True:
            await self.clock.sleep(self.pause_s())
            await self.clean_slice(self.next_slice)
            self.next_slice = (self.next_slice + 1) % SLICES

    def pause_s(self) -> float:
        mean_s = max(INTERVAL_S, FLEET_INTERVAL_S * self.fleet_size())
        return mean_s * self.rng.uniform(0.5, 1.5)

    async def clean_slice(self, number: int) -> int:
        """Delete the expired claims of a slice and return their number; an error ends the pass."""
        try:
            return await self.delete_all(await self.list_expired(number))
        except MarjoramtideError:
            return 0

    async def list_expired(self, number: int) -> list[StoredObject]:
        """Return the expired claims of a slice, at most ``DELETES_PER_PASS``."""
        claims = await self.store.list(slice_prefix(number), timeout=CALL_TIMEOUT_S)
        return list(itertools.islice(filter(self.is_expired, claims), DELETES_PER_PASS))

    async def delete_all(self, claims: list[StoredObject]) -> int:
        """Delete the listed versions of the claims and return how many were deleted."""
        return sum([await self.delete(claim) for claim in claims])

    def is_expired(self, claim: StoredObject) -> bool:
        record = decode_record(claim.value)
        return record is not None and record.is_expired(store_time(self.store, self.clock))

    async def delete(self, claim: StoredObject) -> bool:
        """Delete the listed version of a claim.

        Since the list, another cleaner may have deleted the claim and a caller may have claimed the
        key again. An unconditional delete would remove the new claim, and its request could run
        twice.
        """
        try:
            await self.store.delete(claim.key, claim.version, timeout=CALL_TIMEOUT_S)
        except MarjoramtideError as error:
            if error.code != ErrorCode.VERSION_CONFLICT:
                raise
            return False
        return True


def make_claim_cleaner(
    store: ObjectStore,
    clock: Clock,
    rng: random.Random | None = None,
    fleet_size: Callable[[], int] = lambda: 1,
) -> ClaimCleaner:
    return ClaimCleaner(store, clock, rng or random.Random(), fleet_size)
