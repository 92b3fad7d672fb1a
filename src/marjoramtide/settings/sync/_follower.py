"""Keeps one node's settings level with what is in force."""

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
from marjoramtide.settings.sync._peer_settings import PeerAnswer, PeerSettings
from marjoramtide.settings.sync._piggybacked_state import NoPiggybackedState, PiggybackedState
from marjoramtide.settings.sync._revision_applier import Adopter
from marjoramtide.settings.sync._tree_store import READ_TIMEOUT_S, StoredTree, TreeStore
from marjoramtide.settings.sync._watchers import choose_watchers

CHECKS_IN_BOUND = 4
CATCH_UP_PEERS = 3
DOUBTFUL_ROUNDS = 5
WATCH_WAIT_S = 30.0
PAUSE_STEP_S = 0.2
ROLE_CHECK_S = 1.0
FIRST_WATCH_S = 2.0
SHORTEST_WATCH_S = 1.0
# How long after a change all nodes that watch but the first one leave the store alone, in seconds.
NEXT_CHANGE_S = 0.6
# How long the store is not asked again by a node that has just heard that there is no tree yet, in
# seconds. Peers are asked meanwhile, and gossip tells of the first that finds one: a fleet that
# waits for its first tree would otherwise make up to ten calls a second and node.
ABSENT_PAUSE_S = 1.0
# How long a node that isn't current waits for the store in one round, in seconds, and how long it
# then leaves the store alone and goes by its peers.
STORE_PATIENCE_S = 0.5
# For a read that is made again soon, and that other nodes make as well, in seconds.
PROOF_TIMEOUT_S = 0.6
UNANSWERED_PAUSE_S = 2.0
PULL_MOST_S = 5.0
# Of the peers that have a change, so many are asked for it, one after the other, each so long after
# the one before in seconds: an answer takes some milliseconds.
PULLED_FROM = 3
NEXT_PULL_S = 0.2
# For how long a node that starts looks for others before it goes by a store that may have come back
# from a copy, in seconds, and between two looks. They are found within 0.4 s where any are there.
MEET_S = 1.0
MEET_CHECK_S = 0.05

log = structlog.get_logger()


@attrs.define(slots=True, eq=False, repr=False)
class Follower:
    """Three loops: catch up and stay fresh, watch the store where chosen, pull what gossip names.

    ``missed`` is true while the last round found nobody, ``peers_answered`` where any peer answered
    it; ``doubtful_rounds`` counts rounds whose answers weren't enough to go on. ``store_answers``
    is ``None`` on a node that had no reason to ask the store yet.
    """

    view: TreeSettingsView
    adopter: Adopter
    trees: TreeStore
    peers: PeerSettings
    directory: Directory
    clock: Clock
    rng: random.Random
    missed: bool = False
    peers_answered: bool = False
    doubtful_rounds: int = 0
    store_reachable: bool | None = None
    ask_store_from: float = float("-inf")
    gossiped: asyncio.Event = attrs.field(factory=asyncio.Event)
    piggybacked_state: PiggybackedState = attrs.field(factory=NoPiggybackedState)

    @property
    def freshness(self) -> Freshness:
        return self.view.freshness

    async def run(self) -> None:
        """Follow until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.stay_fresh())
            tasks.create_task(self.watch())
            tasks.create_task(self.pull_gossiped())

    def member_changed(self, member: Member) -> None:
        """Take note of a member that reports more than this node has."""
        if member.revision > self.view.revision:
            self.gossiped.set()

    # Staying fresh

    async def stay_fresh(self) -> None:
        """Ask someone several times within the bound; while not current, at short intervals."""
        waits = backoff(self.rng)
        while True:
            if await self.check() and self.view.is_current:
                waits = backoff(self.rng)
                wait = self.freshness.bound_s / CHECKS_IN_BOUND
                await self._pause(wait * (0.75 + self.rng.random() / 4))
                while self.view.is_current and self.freshness.age_s < wait / 2:
                    # Whoever renews the proof has asked meanwhile.
                    await self._pause(wait / 2)
            else:
                await self.clock.sleep(next(waits))

    async def _pause(self, seconds: float) -> None:
        """Wait in short steps, at most until this node finds that it isn't current any more.

        A node that was frozen refuses callers until it has asked again, so it asks at once. Looking
        at the clock in each step is also what finds a freeze in which no request arrived.
        """
        until = self.clock.monotonic() + seconds
        while self.clock.monotonic() < until and self.view.is_current:
            await self.clock.sleep(PAUSE_STEP_S)

    async def check(self) -> bool:
        """Make one round of questions; return whether this node has caught up by it.

        While fresh, one peer is asked, several after a round that found nobody. A node that isn't
        current (at start, cut off, frozen) asks several, those that report most first. The store is
        asked only if no peer that is current answers, so that neither a fleet that restarts nor one
        that lost its other region falls upon it.
        """
        asked_at = self.clock.monotonic()
        was_current = self.view.is_current
        count = 1 if was_current and not self.missed else CATCH_UP_PEERS
        found = await self._ask_peers(count) or await self._ask_store()
        if not (found or was_current):
            found = self._goes_on()
        self.missed = not found
        if found:
            self.doubtful_rounds = 0
            self.freshness.caught_up(asked_at)
        return found

    def _goes_on(self) -> bool:
        """Tell whether a node goes on by the answers of peers that aren't current themselves.

        A node that was frozen must not be told that all is well by another that was frozen with it:
        it would serve callers by settings replaced long ago. So such answers are not enough. But
        where a whole region was stopped, or started while the store is down, nobody is current, and
        waiting for someone who is would never end: after several rounds, each with other peers, the
        node goes on with the highest revision that it was given.
        """
        self.doubtful_rounds += self.peers_answered
        if self.doubtful_rounds < DOUBTFUL_ROUNDS or not self.view.revision:
            return False
        log.warning("settings.going_on", revision=self.view.revision)
        return True

    async def _ask_store(self) -> bool:
        """Read the tree; return whether the answer shows what is in force."""
        if self.clock.monotonic() < self.ask_store_from:
            return False
        asked_at = self.clock.monotonic()
        try:
            stored = await self._read_store()
        except MarjoramtideError as error:
            self.store_reachable = False
            if self._can_go_on():
                self._leave_store_alone(UNANSWERED_PAUSE_S)
            log.info("settings.store", error=str(error), code=error.code)
            return False
        self.store_reachable = True
        if stored is None:
            # No tree: true of a fleet that has none yet, but also what a stale read says.
            self._leave_store_alone(ABSENT_PAUSE_S)
            return self.view.revision == 0 and self.trees.source.may_be_absent
        level = self.adopter.adopt(stored.envelope, "store")
        # An answer older than what is in force here is a stale one: it proves nothing.
        level = level and stored.envelope.revision >= self.view.revision
        if level:
            self._prove_by_store(stored, asked_at)
        return level

    def _can_go_on(self) -> bool:
        """Tell whether this node isn't current, and has peers' answers to go on by."""
        return bool(self.view.revision) and not self.view.is_current and self.peers_answered

    def _store_patience_s(self) -> float:
        """Return how long one read of the store may take.

        Failure: all nodes are stopped for a moment while the store answers nothing. None of them is
        current, each waits for the store in each of its rounds, and the fleet refuses everything
        for as long as five calls take to time out. A node that has nothing to go on by waits.
        """
        return STORE_PATIENCE_S if self._can_go_on() else READ_TIMEOUT_S

    def _leave_store_alone(self, seconds: float) -> None:
        """Ask the store no more for about so many seconds."""
        self.ask_store_from = self.clock.monotonic() + seconds * (0.5 + self.rng.random())

    async def _read_store(self) -> StoredTree | None:
        """Return the tree, and learn what else a node must know that isn't current.

        That is read at the same time, since callers wait for both.
        """
        reading = self.trees.read(self._store_patience_s())
        if self.view.is_current:
            return await reading
        stored, _ = await asyncio.gather(reading, self.piggybacked_state.read_store())
        await self._hear_others()
        return stored

    async def _hear_others(self) -> None:
        """Hear what others have in force before this node serves by what the store holds.

        Failure: the store has come back from a copy that lacks the newest settings, or all of them,
        and a node that starts serves callers by older ones than all others do. A store that tells
        of its epochs may lack something; whoever is there knows better.
        """
        if not self.trees.store.epoch or self.view.revision:
            return
        until = self.clock.monotonic() + MEET_S
        while not await self._ask_peers(CATCH_UP_PEERS) and not self.peers_answered:
            if self.clock.monotonic() >= until:
                return
            await self.clock.sleep(MEET_CHECK_S)

    async def _ask_peers(self, count: int) -> bool:
        """Pull from ``count`` peers; return whether one that is current answered."""
        candidates = self.peers.others()
        candidates.sort(key=lambda member: member.revision <= self.view.revision)
        return await self.ask(candidates[:count])

    async def ask_any(self, count: int) -> None:
        """Pull from some peers, and catch up where one that is current answers."""
        asked_at = self.clock.monotonic()
        if await self._ask_peers(count):
            self.freshness.caught_up(asked_at)

    async def ask(self, members: list[Member]) -> bool:
        """Pull from these members; return whether one that is current answered."""
        asked_at = self.clock.monotonic()
        news = self.piggybacked_state.local_state()
        answers = await self.peers.pull_from(members, self.view.revision, news)
        for answer in answers:
            if answer.news:
                self.piggybacked_state.merge_state(list(answer.news), answer.node)
        level = [
            answer
            for answer in answers
            if answer.envelope is None or self.adopter.adopt(answer.envelope, answer.node)
        ]
        self.peers_answered = bool(level)
        for answer in level:
            self._take_proof(answer, asked_at)
        return any(answer.current for answer in level)

    def _take_proof(self, answer: PeerAnswer, asked_at: float) -> None:
        """Take over a peer's proof, older by all the time since it was asked.

        Whoever has it from another states the age that it has there, so that nodes which only hear
        each other see their proofs grow old together.
        """
        if answer.proof_age_s is not None and answer.revision == self.view.revision:
            self.freshness.prove(asked_at - answer.proof_age_s)

    async def read_proof(self) -> None:
        """Read the store for what is in force; raises what the store does."""
        asked_at = self.clock.monotonic()
        stored = await self.trees.read(PROOF_TIMEOUT_S)
        if stored is None or not self.adopter.adopt(stored.envelope, "store"):
            return
        if stored.envelope.revision >= self.view.revision:
            self.freshness.caught_up(asked_at)
            self._prove_by_store(stored, asked_at)

    def _prove_by_store(self, stored: StoredTree, asked_at: float) -> None:
        """Take what was read for a proof, unless some member has more in force than the store.

        Such a store has come back from a copy.
        """
        known = max((member.revision for member in self.directory.members()), default=0)
        if stored.envelope.revision >= known:
            self.freshness.prove(asked_at)

    # Watching the store

    def is_watcher(self) -> bool:
        """Tell whether this node is one of those of its data centre that watch the store."""
        return self.directory.self_member.node in self.watchers_here()

    def watchers_here(self) -> list[str]:
        """Return the nodes of this data centre that watch the store, in their order."""
        here = self.directory.self_member
        neighbours = [
            member
            for member in self.directory.members()
            if (member.region, member.data_centre) == (here.region, here.data_centre)
        ]
        return choose_watchers(neighbours, self.view.node_values["watchers"])

    def is_first_watcher(self) -> bool:
        """Tell whether this node is the first of all that watch, as far as it knows them."""
        members = self.directory.members()
        return choose_watchers(members, 1) == [self.directory.self_member.node]

    async def watch(self) -> None:
        """Watch the store while chosen; the choice is looked at again after each watch.

        A node that has just started knows no others yet and would choose itself. It waits first,
        so that a fleet that restarts doesn't hold a watch for each of its nodes.
        """
        await self.clock.sleep(FIRST_WATCH_S)
        waits = backoff(self.rng)
        while True:
            if not self.is_watcher():
                await self.clock.sleep(ROLE_CHECK_S)
                continue
            try:
                began = self.clock.monotonic()
                has_changed = await self.watch_once()
                waits = backoff(self.rng)
                if has_changed:
                    await self._let_first_go_on()
                    continue
                # A store that ends watches at once must not be read in a tight loop.
                spent = self.clock.monotonic() - began
                await self.clock.sleep(max(0.0, SHORTEST_WATCH_S - spent))
            except MarjoramtideError as error:
                self.store_reachable = False
                log.info("settings.watch", error=str(error), code=error.code)
                await self.clock.sleep(next(waits))

    async def watch_once(self) -> bool:
        """Read the tree, then take changes as they come until the watch ends.

        That is with the first change where another node goes first; returns whether it was so.
        Each watch begins with a read, so that what a watch missed without saying so (a lapsed one,
        or a gap in its history) is missed for one watch at most.
        """
        stored, since = await self.trees.read_with_position()
        self.store_reachable = True
        if stored:
            self.adopter.adopt(stored.envelope, "store")
        await self._write_lost(stored)
        source = self.trees.source
        try:
            async for event in self.trees.store.watch(source.key, since, wait=WATCH_WAIT_S):
                if event.stored and event.key == source.key:
                    self.adopter.adopt(source.decode(event.stored), "watch")
                    if not self.is_first_watcher():
                        return True
        except MarjoramtideError as error:
            if error.code is not ErrorCode.NOT_FOUND:
                raise
            log.info("settings.watch_gap", since=since)
        return False

    async def _let_first_go_on(self) -> None:
        """Leave what changes next to the first node that watches; it tells the others by gossip.

        Changes come in quick succession at times, and each would cost a call of every node that
        watches. Where the first one does not reach the store, the others are later by this pause.
        The next watch begins with what the store holds by then. Failure: the first node was lost
        amid 18 changes; the others went on with their watches where they were, took what had queued
        up one by one, each with a pause, and served callers by versions of seconds before.
        """
        await self.clock.sleep(NEXT_CHANGE_S * self.rng.uniform(0.75, 1.25))

    async def _write_lost(self, stored: StoredTree | None) -> None:
        """Write the tree in force again where the store has come back from a copy without it.

        Failure: a change that operators were told is in force everywhere is gone with the next
        restart of the fleet. The version that was read is the condition: where the answer was only
        an old one, the write fails.
        """
        mine = self.view.envelope
        if mine is None or not self.trees.source.is_writable:
            return
        if stored is None or stored.envelope.lineage == mine.lineage:
            held = stored.envelope.revision if stored else 0
            if held < mine.revision:
                log.warning("settings.written_again", revision=mine.revision, held=held)
                await self.trees.write_again(stored, mine)

    # Pulling what gossip names

    async def pull_gossiped(self) -> None:
        """Pull from a peer whenever gossip tells of a higher revision."""
        while True:
            await self.gossiped.wait()
            self.gossiped.clear()
            for wait in backoff(self.rng, most_s=PULL_MOST_S):
                ahead = self.peers.ahead(self.view.revision)
                if not ahead:
                    break
                await self._pull_change(ahead[:PULLED_FROM])
                if self.peers.ahead(self.view.revision):
                    await self.clock.sleep(wait)

    async def _pull_change(self, ahead: list[Member]) -> None:
        """Take a change from whichever of these peers answers first.

        Failure: the one that is asked has a link full of bodies, or its instance is slow. Whoever
        waits for its answer alone runs requests by the version before for a second more.
        """
        have = self.view.revision

        async def pull(place: int, member: Member) -> PeerAnswer:
            await self.clock.sleep(place * NEXT_PULL_S)
            return await self.peers.pull(member, have, [])

        pulls = [asyncio.create_task(pull(*each)) for each in enumerate(ahead)]
        try:
            for answered in asyncio.as_completed(pulls):
                with contextlib.suppress(MarjoramtideError):
                    answer = await answered
                    if answer.envelope and self.adopter.adopt(answer.envelope, answer.node):
                        return
        finally:
            for each in pulls:
                each.cancel()
            await asyncio.gather(*pulls, return_exceptions=True)
