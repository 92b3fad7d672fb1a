"""Keeps one node's settings up to date with what is in force."""

import asyncio
import contextlib
import random

import attrs
import structlog

from marjoramtide.clock import Clock
from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.membership import Directory, Member
from marjoramtide.settings._freshness import Freshness
from marjoramtide.settings._tree_view import TreeSettingsView
from marjoramtide.settings.sync._backoff import backoff
from marjoramtide.settings.sync._peer_settings import PeerSettingsClient, PullResponse
from marjoramtide.settings.sync._piggybacked_state import NoPiggybackedState, PiggybackedState
from marjoramtide.settings.sync._revision_applier import RevisionApplier
from marjoramtide.settings.sync._tree_store import READ_TIMEOUT_S, StoredTree, TreeStore
from marjoramtide.settings.sync._watchers import choose_watchers

CHECKS_PER_MAX_AGE = 4
CATCH_UP_PEERS = 3
MAX_INCONCLUSIVE_ROUNDS = 5
WATCH_WAIT_S = 30.0
PAUSE_STEP_S = 0.2
WATCHER_ROLE_POLL_S = 1.0
FIRST_WATCH_DELAY_S = 2.0
MIN_WATCH_INTERVAL_S = 1.0
# How long after a change every watcher but the primary one leaves the store alone, in seconds.
SECONDARY_WATCH_PAUSE_S = 0.6
# How long a node doesn't read the store after it found no tree there, in seconds. Peers are asked
# meanwhile, and gossip reports the first node that finds a tree: a fleet that waits for its first
# tree would otherwise make up to ten calls a second and node.
ABSENT_TREE_PAUSE_S = 1.0
# Timeout of one store read for a node that isn't current but has peers' responses, in seconds.
# After a failed read, such a node leaves the store alone for ``STORE_FAILURE_PAUSE_S``.
SHORT_STORE_TIMEOUT_S = 0.5
STORE_FAILURE_PAUSE_S = 2.0
PULL_MAX_BACKOFF_S = 5.0
# A newer revision is requested from this many of the peers that have it, each after a delay in
# seconds behind the previous one; a response takes some milliseconds.
PULL_FANOUT = 3
PULL_STAGGER_S = 0.2
# How long a starting node looks for other nodes before it relies on a store that may have been
# restored from a backup, and the poll interval, in seconds. Members are discovered within 0.4 s if
# there are any.
DISCOVERY_TIMEOUT_S = 1.0
DISCOVERY_POLL_S = 0.05

log = structlog.get_logger()


@attrs.define(slots=True, eq=False, repr=False)
class Follower:
    """Runs three loops: freshness checks, the store watch on watchers, pulls of gossiped revisions.

    ``last_check_failed`` is true if the last check caught up with nobody, ``peers_responded`` if
    any peer responded to it; ``inconclusive_rounds`` counts checks whose responses were not
    sufficient. ``store_reachable`` is ``None`` until this node has first called the store.
    """

    view: TreeSettingsView
    applier: RevisionApplier
    trees: TreeStore
    peers: PeerSettingsClient
    directory: Directory
    clock: Clock
    rng: random.Random
    last_check_failed: bool = False
    peers_responded: bool = False
    inconclusive_rounds: int = 0
    store_reachable: bool | None = None
    store_paused_until: float = float("-inf")
    newer_revision_reported: asyncio.Event = attrs.field(factory=asyncio.Event)
    piggybacked_state: PiggybackedState = attrs.field(factory=NoPiggybackedState)

    @property
    def freshness(self) -> Freshness:
        return self.view.freshness

    async def run(self) -> None:
        """Follow the settings until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.stay_fresh())
            tasks.create_task(self.watch())
            tasks.create_task(self.pull_newer_revisions())

    def member_changed(self, member: Member) -> None:
        """Wake the pull loop if a member reports a newer revision than this node has."""
        if member.revision > self.view.revision:
            self.newer_revision_reported.set()

    # Freshness checks

    async def stay_fresh(self) -> None:
        """Check several times within the freshness limit; while not current, at short intervals."""
        waits = backoff(self.rng)
        while True:
            if await self.check() and self.view.is_current:
                waits = backoff(self.rng)
                wait = self.freshness.max_age_s / CHECKS_PER_MAX_AGE
                await self._pause(wait * (0.75 + self.rng.random() / 4))
                while self.view.is_current and self.freshness.age_s < wait / 2:
                    # The proof renewer has caught up meanwhile.
                    await self._pause(wait / 2)
            else:
                await self.clock.sleep(next(waits))

    async def _pause(self, seconds: float) -> None:
        """Sleep in short steps, ending early if this node stops being current.

        A node that was frozen refuses callers until it has caught up, so it checks at once. Reading
        the clock in each step also detects a freeze during which no request arrived.
        """
        until = self.clock.monotonic() + seconds
        while self.clock.monotonic() < until and self.view.is_current:
            await self.clock.sleep(PAUSE_STEP_S)

    async def check(self) -> bool:
        """Run one freshness check; return whether this node has caught up by it.

        A current node asks one peer, or several after a failed check. A node that isn't current (at
        start, partitioned, frozen) asks several, those with the newest revisions first. The store
        is read only if no current peer responds, so that neither a restarting fleet nor one that
        lost its other region overloads it.
        """
        asked_at = self.clock.monotonic()
        was_current = self.view.is_current
        count = 1 if was_current and not self.last_check_failed else CATCH_UP_PEERS
        has_caught_up = await self._pull_from_peers(count) or await self._apply_stored_tree()
        if not (has_caught_up or was_current):
            has_caught_up = self._accepts_stale_peers()
        self.last_check_failed = not has_caught_up
        if has_caught_up:
            self.inconclusive_rounds = 0
            self.freshness.record_caught_up(asked_at)
        return has_caught_up

    def _accepts_stale_peers(self) -> bool:
        """Tell whether to accept the responses of peers that aren't current themselves.

        Normally they are not sufficient: two nodes that were frozen together would confirm each
        other and serve callers by settings replaced long ago. But where a whole region was stopped,
        or started while the store is down, no node is current, and waiting for one would never end.
        So after several rounds, each with other peers, the node accepts the newest revision it has
        seen.
        """
        self.inconclusive_rounds += self.peers_responded
        if self.inconclusive_rounds < MAX_INCONCLUSIVE_ROUNDS or not self.view.revision:
            return False
        log.warning("settings.stale_peers_accepted", revision=self.view.revision)
        return True

    async def _apply_stored_tree(self) -> bool:
        """Read the tree; return whether the result shows what is in force."""
        if self.clock.monotonic() < self.store_paused_until:
            return False
        asked_at = self.clock.monotonic()
        try:
            stored = await self._read_tree_and_state()
        except MarjoramtideError as error:
            self.store_reachable = False
            if self._can_rely_on_peers():
                self._pause_store_reads(STORE_FAILURE_PAUSE_S)
            log.info("settings.store", error=str(error), code=error.code)
            return False
        self.store_reachable = True
        if stored is None:
            # The fleet may have no tree yet, but a stale read looks the same.
            self._pause_store_reads(ABSENT_TREE_PAUSE_S)
            return self.view.revision == 0 and self.trees.source.may_be_absent
        is_up_to_date = self.applier.apply(stored.envelope, "store")
        # A result older than what is in force here is stale and proves nothing.
        is_up_to_date = is_up_to_date and stored.envelope.revision >= self.view.revision
        if is_up_to_date:
            self._record_store_proof(stored, asked_at)
        return is_up_to_date

    def _can_rely_on_peers(self) -> bool:
        """Tell whether this node isn't current but has settings and responses of peers."""
        return bool(self.view.revision) and not self.view.is_current and self.peers_responded

    def _store_read_timeout_s(self) -> float:
        """Return the timeout of one store read.

        Failure: all nodes are frozen for a moment while the store hangs. None of them is current,
        each waits for the store in each of its rounds, and the fleet refuses everything until five
        calls have timed out. A node without settings or responses of peers uses the full timeout.
        """
        return SHORT_STORE_TIMEOUT_S if self._can_rely_on_peers() else READ_TIMEOUT_S

    def _pause_store_reads(self, seconds: float) -> None:
        """Don't read the store for about this many seconds."""
        self.store_paused_until = self.clock.monotonic() + seconds * (0.5 + self.rng.random())

    async def _read_tree_and_state(self) -> StoredTree | None:
        """Return the tree; a node that isn't current also reads the piggybacked state.

        Both are read concurrently, since callers wait for them.
        """
        reading = self.trees.read(self._store_read_timeout_s())
        if self.view.is_current:
            return await reading
        stored, _ = await asyncio.gather(reading, self.piggybacked_state.read_store())
        await self._wait_for_peers()
        return stored

    async def _wait_for_peers(self) -> None:
        """Learn what other nodes have in force before this node serves by what the store holds.

        Failure: the store was restored from a backup that lacks the newest settings, or all of
        them, and a starting node serves callers by older settings than all others. A store with an
        epoch may have been restored; other nodes, if there are any, have what it lacks.
        """
        if not self.trees.store.epoch or self.view.revision:
            return
        until = self.clock.monotonic() + DISCOVERY_TIMEOUT_S
        while not await self._pull_from_peers(CATCH_UP_PEERS) and not self.peers_responded:
            if self.clock.monotonic() >= until:
                return
            await self.clock.sleep(DISCOVERY_POLL_S)

    async def _pull_from_peers(self, count: int) -> bool:
        """Pull from ``count`` peers; return whether a current one responded."""
        candidates = self.peers.other_members()
        candidates.sort(key=lambda member: member.revision <= self.view.revision)
        return await self.pull_and_apply(candidates[:count])

    async def pull_from_any(self, count: int) -> None:
        """Pull from ``count`` peers; a response of a current one counts as catching up."""
        asked_at = self.clock.monotonic()
        if await self._pull_from_peers(count):
            self.freshness.record_caught_up(asked_at)

    async def pull_and_apply(self, members: list[Member]) -> bool:
        """Pull from these members and apply the result; return whether a current one responded."""
        asked_at = self.clock.monotonic()
        local_state = self.piggybacked_state.local_state()
        responses = await self.peers.pull_from(members, self.view.revision, local_state)
        for response in responses:
            if response.piggybacked:
                self.piggybacked_state.merge_state(list(response.piggybacked), response.node)
        applied = [
            response
            for response in responses
            if response.envelope is None or self.applier.apply(response.envelope, response.node)
        ]
        self.peers_responded = bool(applied)
        for response in applied:
            self._accept_peer_proof(response, asked_at)
        return any(response.is_current for response in applied)

    def _accept_peer_proof(self, response: PullResponse, asked_at: float) -> None:
        """Adopt a peer's proof, aged by the time since the request was sent.

        A node that got its proof from another reports the age it has there, so that the proofs of
        nodes which only reach each other expire together.
        """
        if response.proof_age_s is not None and response.revision == self.view.revision:
            self.freshness.record_proof(asked_at - response.proof_age_s)

    async def read_changes(self, source: str = "check", timeout_s: float = READ_TIMEOUT_S) -> None:
        """Read the store and apply a newer tree; raises the store's errors.

        Where the tree there is the newest one, this renews the proof.
        """
        asked_at = self.clock.monotonic()
        stored = await self.trees.read(timeout_s)
        await self._wait_for_peers()
        if stored is None or not self.applier.apply(stored.envelope, source):
            return
        if stored.envelope.revision >= self.view.revision:
            self.freshness.record_caught_up(asked_at)
            self._record_store_proof(stored, asked_at)

    def _record_store_proof(self, stored: StoredTree, asked_at: float) -> None:
        """Count a store read as proof, unless some member has a newer revision in force.

        Such a store has been restored from a backup.
        """
        known = max((member.revision for member in self.directory.members()), default=0)
        if stored.envelope.revision >= known:
            self.freshness.record_proof(asked_at)

    # Watching the store

    def is_watcher(self) -> bool:
        """Tell whether this node is one of the watchers of its data centre."""
        return self.directory.self_member.node in self.local_watchers()

    def local_watchers(self) -> list[str]:
        """Return the nodes of this data centre that watch the store, by priority."""
        here = self.directory.self_member
        local_members = [
            member
            for member in self.directory.members()
            if (member.region, member.data_centre) == (here.region, here.data_centre)
        ]
        return choose_watchers(local_members, self.view.node_values["watchers"])

    def is_primary_watcher(self) -> bool:
        """Tell whether this node is the primary watcher among the members it knows."""
        members = self.directory.members()
        return choose_watchers(members, 1) == [self.directory.self_member.node]

    async def watch(self) -> None:
        """Watch the store while chosen as a watcher; the choice is made again after each watch.

        A node that has just started knows no others yet and would choose itself. It waits first, so
        that a restarting fleet doesn't hold a watch for each of its nodes.
        """
        await self.clock.sleep(FIRST_WATCH_DELAY_S)
        waits = backoff(self.rng)
        while True:
            if not self.is_watcher():
                await self.clock.sleep(WATCHER_ROLE_POLL_S)
                continue
            try:
                began = self.clock.monotonic()
                has_changed = await self.watch_once()
                waits = backoff(self.rng)
                if has_changed:
                    await self._defer_to_primary()
                    continue
                # A store that ends watches at once must not be read in a tight loop.
                spent = self.clock.monotonic() - began
                await self.clock.sleep(max(0.0, MIN_WATCH_INTERVAL_S - spent))
            except MarjoramtideError as error:
                self.store_reachable = False
                log.info("settings.watch", error=str(error), code=error.code)
                await self.clock.sleep(next(waits))

    async def watch_once(self) -> bool:
        """Read the tree, then apply changes from one watch until it ends.

        On all but the primary watcher it ends with the first change; returns whether that was so.
        Each watch begins with a read, so that a change that a watch missed silently (a dead watch,
        or a gap in its history) is missed for the duration of one watch at most.
        """
        stored, since = await self.trees.read_with_position()
        self.store_reachable = True
        if stored:
            self.applier.apply(stored.envelope, "store")
        await self._restore_lost_tree(stored)
        source = self.trees.source
        try:
            async for event in self.trees.store.watch(source.key, since, wait=WATCH_WAIT_S):
                if event.stored and event.key == source.key:
                    self.applier.apply(source.decode(event.stored), "watch")
                    if not self.is_primary_watcher():
                        return True
        except MarjoramtideError as error:
            if error.code is not ErrorCode.NOT_FOUND:
                raise
            log.info("settings.watch_gap", since=since)
        return False

    async def _defer_to_primary(self) -> None:
        """Leave further changes to the primary watcher, which spreads them by gossip.

        Changes sometimes come in quick succession, and each would cost a call of every watcher. If
        the primary one doesn't reach the store, the others lag by this pause; their next watch
        begins with the store's current content. Failure: the primary watcher was lost amid 18
        changes; the others resumed their watches at their old positions, took the queued changes
        one by one with a pause after each, and served callers by versions that were seconds old.
        """
        await self.clock.sleep(SECONDARY_WATCH_PAUSE_S * self.rng.uniform(0.75, 1.25))

    async def _restore_lost_tree(self, stored: StoredTree | None) -> None:
        """Write the tree in force again if the store was restored from a backup without it.

        Failure: a change that operators were told is in force everywhere is lost with the next
        restart of the fleet. The write is conditional on the version that was read, so it fails if
        that read was merely stale.
        """
        current = self.view.envelope
        if current is None or not self.trees.source.is_writable:
            return
        if stored is None or stored.envelope.lineage == current.lineage:
            held = stored.envelope.revision if stored else 0
            if held < current.revision:
                log.warning("settings.tree_restored", revision=current.revision, held=held)
                await self.trees.overwrite_older(stored, current)

    # Pulling gossiped revisions

    async def pull_newer_revisions(self) -> None:
        """Pull from a peer whenever gossip reports a newer revision."""
        while True:
            await self.newer_revision_reported.wait()
            self.newer_revision_reported.clear()
            for wait in backoff(self.rng, max_s=PULL_MAX_BACKOFF_S):
                ahead = self.peers.members_ahead(self.view.revision)
                if not ahead:
                    break
                await self._pull_from_first(ahead[:PULL_FANOUT])
                if self.peers.members_ahead(self.view.revision):
                    await self.clock.sleep(wait)

    async def _pull_from_first(self, ahead: list[Member]) -> None:
        """Apply the newer revision from whichever of these peers responds first.

        Failure: the one peer that was asked had a link full of bodies, or its instance was slow,
        and the node that waited for it ran requests by the previous revision for a second longer.
        """
        own_revision = self.view.revision

        async def pull(position: int, member: Member) -> PullResponse:
            await self.clock.sleep(position * PULL_STAGGER_S)
            return await self.peers.pull(member, own_revision, [])

        pulls = [asyncio.create_task(pull(*each)) for each in enumerate(ahead)]
        try:
            for completed in asyncio.as_completed(pulls):
                with contextlib.suppress(MarjoramtideError):
                    response = await completed
                    if response.envelope and self.applier.apply(response.envelope, response.node):
                        return
        finally:
            for each in pulls:
                each.cancel()
            await asyncio.gather(*pulls, return_exceptions=True)
