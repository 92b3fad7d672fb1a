"""Renews the proof that a node's settings are the newest, so that revoked keys expire in time."""

import random

import attrs
import structlog

from marjoramtide.clock import Clock
from marjoramtide.errors import MarjoramtideError
from marjoramtide.settings._tree_view import TreeSettingsView
from marjoramtide.settings.sync._follower import Follower

log = structlog.get_logger()

MIN_CHECK_INTERVAL_S = 0.1
# Poll interval while the settings need no proofs, in seconds.
DISABLED_POLL_S = 0.5
# How long an unavailable store is left alone, as a share of the maximum age.
STORE_PAUSE_SHARE = 0.15
# Ages of the proof from which the primary watcher reads the store, other nodes ask the watchers,
# and a node falls back to any peer; in seconds, and as shares of the maximum age for short ones.
PRIMARY_READ_AGE_S, PRIMARY_READ_AGE_SHARE = 0.9, 0.18
ASK_WATCHERS_AGE_S, ASK_WATCHERS_AGE_SHARE = 1.6, 0.32
FALLBACK_AGE_S, FALLBACK_AGE_SHARE = 2.2, 0.44
# How much older the proof of each further watcher must be before it reads the store itself.
WATCHER_STAGGER_S = 0.3
# Timeout of a read that renews the proof, in seconds; it is soon retried, also by other nodes.
PROOF_TIMEOUT_S = 0.6
# Pause after a renewal that failed, in seconds.
FAILED_RENEWAL_PAUSE_S = 0.4
# Store reads a second of all nodes together where no watcher could renew the proof.
FALLBACK_READS_PER_S = 8.0
FALLBACK_PEERS = 3


@attrs.define(slots=True, eq=False, repr=False)
class ProofRenewer:
    """Renews the proof: watchers read the store, other nodes ask the watchers.

    ``next_fallback_read_at`` is when this node may read the store although it is no watcher.
    """

    view: TreeSettingsView
    follower: Follower
    clock: Clock
    rng: random.Random
    next_fallback_read_at: float = 0.0

    @property
    def max_proof_age_s(self) -> float:
        """Return the maximum age of a proof in seconds; 0 if none is needed."""
        return float(self.view.node_values["revocation_s"])

    async def run(self) -> None:
        """Renew the proof whenever it is due, until cancelled."""
        self.view.on_change(self.settings_changed)
        while True:
            await self.clock.sleep(self._next_check_s())
            if self.max_proof_age_s and self.view.revision and not await self.renew():
                await self.clock.sleep(FAILED_RENEWAL_PAUSE_S * self.rng.uniform(0.75, 1.25))

    def settings_changed(self, revision: int) -> None:
        """Have the store client probe an unavailable store often enough for a short maximum age.

        Failure: the store is available again, but keys are refused until the pauses of all watchers
        end, since their calls had failed for a while.
        """
        if self.max_proof_age_s:
            self.follower.trees.store.set_max_retry_pause(STORE_PAUSE_SHARE * self.max_proof_age_s)

    def _next_check_s(self) -> float:
        """Return the delay until the next check whether the proof is due."""
        if not self.max_proof_age_s:
            return DISABLED_POLL_S
        due_s = min(PRIMARY_READ_AGE_S, PRIMARY_READ_AGE_SHARE * self.max_proof_age_s)
        left_s = due_s - self.view.freshness.proof_age_s
        return max(MIN_CHECK_INTERVAL_S, left_s) * self.rng.uniform(0.75, 1.25)

    async def renew(self) -> bool:
        """Renew the proof if it is due; return whether it is recent enough afterwards."""
        if self._is_turn_to_read():
            await self._renew_from_store()
        if not self._is_older(ASK_WATCHERS_AGE_S, ASK_WATCHERS_AGE_SHARE):
            return True
        await self._ask_watchers()
        if self._is_older(FALLBACK_AGE_S, FALLBACK_AGE_SHARE):
            await self.follower.pull_from_any(FALLBACK_PEERS)
        if self._is_older(FALLBACK_AGE_S, FALLBACK_AGE_SHARE) and self._take_fallback_read():
            await self._renew_from_store()
        return not self._is_older(ASK_WATCHERS_AGE_S, ASK_WATCHERS_AGE_SHARE)

    def _is_older(self, seconds: float, share: float) -> bool:
        """Tell whether the proof is older than this, or than this share of the maximum age."""
        return self.view.freshness.proof_age_s >= min(seconds, share * self.max_proof_age_s)

    def _is_turn_to_read(self) -> bool:
        """Tell whether this node is the watcher that is to read the store now."""
        watchers = self.follower.local_watchers()
        own = self.follower.directory.self_member.node
        if own not in watchers:
            return False
        position = watchers.index(own)
        if position == 0:
            return self._is_older(PRIMARY_READ_AGE_S, PRIMARY_READ_AGE_SHARE)
        return self._is_older(ASK_WATCHERS_AGE_S + WATCHER_STAGGER_S * position, FALLBACK_AGE_SHARE)

    def _take_fallback_read(self) -> bool:
        """Tell whether this node may read the store now, at a rate shared by all nodes.

        Failure: the store is unavailable, and each of two hundred nodes calls it several times a
        second, which keeps it from recovering.
        """
        now = self.clock.monotonic()
        if now < self.next_fallback_read_at:
            return False
        nodes = len(self.follower.directory.members())
        self.next_fallback_read_at = now + max(
            1.0, nodes / FALLBACK_READS_PER_S
        ) * self.rng.uniform(0.5, 1.5)
        return True

    async def _ask_watchers(self) -> None:
        """Pull from the watchers of this data centre in turn until the proof is recent enough."""
        own = self.follower.directory.self_member.node
        for node in self.follower.local_watchers():
            member = self.follower.directory.find(node)
            if member is None or node == own:
                continue
            await self.follower.pull_and_apply([member])
            if not self._is_older(ASK_WATCHERS_AGE_S, ASK_WATCHERS_AGE_SHARE):
                return

    async def _renew_from_store(self) -> None:
        try:
            await self.follower.read_changes("proof", PROOF_TIMEOUT_S)
        except MarjoramtideError as error:
            log.info("settings.proof", code=error.code, reason=error.message)
