"""Keeps a node's proof of its settings young where keys are taken away within a bounded time."""

import random

import attrs
import structlog

from marjoramtide.clock import Clock
from marjoramtide.errors import MarjoramtideError
from marjoramtide.settings._tree_view import TreeSettingsView
from marjoramtide.settings.sync._follower import Follower

log = structlog.get_logger()

STEP_S = 0.1
# How soon a node notices that settings need proofs, in seconds.
NOT_NEEDED_S = 0.5
# For how long a store that is away is left alone, as a share of the bound.
STORE_PAUSE_SHARE = 0.15
# Ages of the proof, in seconds, and as shares of the bound where that is short: from when on the
# first watcher reads the store, the others ask it, and a node asks whoever may help.
READ_AT_S, READ_AT_SHARE = 0.9, 0.18
ASKED_AT_S, ASKED_AT_SHARE = 1.6, 0.32
HELP_AT_S, HELP_AT_SHARE = 2.2, 0.44
# How much older the proof of each further watcher must be before it reads the store itself.
NEXT_READER_S = 0.3
# How long a node waits that nobody has helped, in seconds.
PAUSE_S = 0.4
# How often all nodes together read the store where no watcher has helped them.
READS_PER_S = 8.0
HELPERS = 3


@attrs.define(slots=True, eq=False, repr=False)
class Prover:
    """Renews the proof: watchers of the store read it, the others ask the watchers.

    ``read_again_at`` is when this node may read the store though it is no watcher.
    """

    view: TreeSettingsView
    follower: Follower
    clock: Clock
    rng: random.Random
    read_again_at: float = 0.0

    @property
    def bound_s(self) -> float:
        """Return how old a proof may become; 0 where none is needed."""
        return float(self.view.node_values["revocation_s"])

    async def run(self) -> None:
        """Renew the proof whenever it is due, until cancelled."""
        self.view.on_change(self.settings_changed)
        while True:
            await self.clock.sleep(self._pause_s())
            if self.bound_s and self.view.revision and not await self.renew():
                await self.clock.sleep(PAUSE_S * self.rng.uniform(0.75, 1.25))

    def settings_changed(self, revision: int) -> None:
        """Look for a store that is away as often as a short bound needs it.

        Failure: the store is back, and keys are refused for as long as every watcher leaves it
        alone, since all of them have called it in vain for a while.
        """
        if self.bound_s:
            self.follower.trees.store.set_max_retry_pause(STORE_PAUSE_SHARE * self.bound_s)

    def _pause_s(self) -> float:
        """Return after how many seconds to look whether the proof is due."""
        if not self.bound_s:
            return NOT_NEEDED_S
        due_s = min(READ_AT_S, READ_AT_SHARE * self.bound_s)
        left_s = due_s - self.view.freshness.proof_age_s
        return max(STEP_S, left_s) * self.rng.uniform(0.75, 1.25)

    async def renew(self) -> bool:
        """Ask for a younger proof where that is due; return whether it is young enough then."""
        if self._reads_store():
            await self._read_store()
        if not self._is_older(ASKED_AT_S, ASKED_AT_SHARE):
            return True
        await self._ask_watchers()
        if self._is_older(HELP_AT_S, HELP_AT_SHARE):
            await self.follower.ask_any(HELPERS)
        if self._is_older(HELP_AT_S, HELP_AT_SHARE) and self._may_read_store():
            await self._read_store()
        return not self._is_older(ASKED_AT_S, ASKED_AT_SHARE)

    def _is_older(self, seconds: float, share: float) -> bool:
        """Tell whether the proof is older than that, or than a share of the bound."""
        return self.view.freshness.proof_age_s >= min(seconds, share * self.bound_s)

    def _reads_store(self) -> bool:
        """Tell whether this node is the watcher whose turn it is."""
        watchers = self.follower.watchers_here()
        own = self.follower.directory.self_member.node
        if own not in watchers:
            return False
        place = watchers.index(own)
        if place == 0:
            return self._is_older(READ_AT_S, READ_AT_SHARE)
        return self._is_older(ASKED_AT_S + NEXT_READER_S * place, HELP_AT_SHARE)

    def _may_read_store(self) -> bool:
        """Tell whether this node may read the store, at a rate that all nodes share.

        Failure: the store is away, and each of two hundred nodes asks it several times a second,
        which keeps it from coming back.
        """
        now = self.clock.monotonic()
        if now < self.read_again_at:
            return False
        nodes = len(self.follower.directory.members())
        self.read_again_at = now + max(1.0, nodes / READS_PER_S) * self.rng.uniform(0.5, 1.5)
        return True

    async def _ask_watchers(self) -> None:
        """Ask the watchers of this data centre in turn until the proof is young enough."""
        own = self.follower.directory.self_member.node
        for node in self.follower.watchers_here():
            member = self.follower.directory.find(node)
            if member is None or node == own:
                continue
            await self.follower.ask([member])
            if not self._is_older(ASKED_AT_S, ASKED_AT_SHARE):
                return

    async def _read_store(self) -> None:
        try:
            await self.follower.read_proof()
        except MarjoramtideError as error:
            log.info("settings.proof", code=error.code, reason=error.message)
