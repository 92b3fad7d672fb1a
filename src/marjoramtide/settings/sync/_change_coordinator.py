"""Makes the changes that operators ask for."""

import asyncio

import attrs

from marjoramtide.clock import Clock
from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.membership import Directory, Member, MemberState
from marjoramtide.settings._envelope import Envelope
from marjoramtide.settings._tree_view import TreeSettingsView
from marjoramtide.settings.sync._change_outcome import ChangeOutcome
from marjoramtide.settings.sync._change_request import ChangeRequest
from marjoramtide.settings.sync._draft import Draft, make_draft, make_envelope
from marjoramtide.settings.sync._peer_settings import PeerSettings
from marjoramtide.settings.sync._progress import Progress, Report
from marjoramtide.settings.sync._revision_applier import Adopter
from marjoramtide.settings.sync._tree_store import HISTORY_KEPT, StoredTree, TreeStore

STALE_READS = 5
STALE_READ_WAIT_S = 0.2
IN_FORCE_CHECK_S = 0.2
MEET_S = 10.0
MEET_CHECK_S = 0.5
REBASES = 50
NODES_NAMED = 20


@attrs.define(slots=True, eq=False, repr=False)
class ChangeMaker:
    """Checks a change with the members, writes it on one condition, waits until it is in force."""

    view: TreeSettingsView
    adopter: Adopter
    trees: TreeStore
    peers: PeerSettings
    directory: Directory
    clock: Clock
    lost_at: dict[str, float] = attrs.field(factory=dict)

    def member_changed(self, member: Member) -> None:
        """Remember when a member was found dead; one that comes back or leaves is no matter."""
        if member.state is MemberState.DEAD:
            self.lost_at.setdefault(member.node, self.clock.monotonic())
        else:
            self.lost_at.pop(member.node, None)

    async def make(self, request: ChangeRequest, report: Report) -> ChangeOutcome:
        """Make a change; returns once it is in force, or ``wait_s`` after it was accepted.

        Every error but ``store-ambiguous`` means that nothing was written: ``bad-settings``,
        ``not-found``, ``branch-conflict``, ``member-unreachable``, and ``store-unavailable`` or
        ``store-throttled`` where the store takes no write.
        """
        prepared = False
        for _ in range(REBASES):
            stored = await self._read(request.base)
            current = stored.envelope if stored else None
            if current and (entry := current.contains(request.change)):
                return await self._settle(request, current, entry.revision, report, repeated=True)
            draft = await self._draft(request, current)
            if current and draft.text == current.text:
                return ChangeOutcome(
                    change=request.change, revision=current.revision, unchanged=True
                )
            if not prepared:
                await self._prepare(request, draft, current, report)
                prepared = True
            envelope = make_envelope(request, draft, current, self.clock.wall())
            if await self._write(stored, envelope, report):
                await self.trees.forget(envelope.revision - HISTORY_KEPT)
                return await self._settle(
                    request, envelope, envelope.revision, report, rebased=draft.rebased
                )
            report(Progress("rebase", "another change came first; trying on top of it"))
        raise MarjoramtideError(
            ErrorCode.VERSION_CONFLICT,
            f"other changes came first {REBASES} times; nothing was written",
            step="settings.change",
        )

    async def envelope_at(self, revision: int, current: Envelope | None = None) -> Envelope | None:
        """Return a revision: from memory where this node has it, else from the store's history."""
        if revision == 0:
            return None
        at_hand = (self.view.envelope, current)
        found = next((one for one in at_hand if one and one.revision == revision), None)
        return found or await self.trees.read_history(revision)

    async def _read(self, base: int) -> StoredTree | None:
        """Read the tree, and again where the answer is older than what is known to be accepted."""
        for _ in range(STALE_READS):
            stored = await self.trees.read()
            revision = stored.envelope.revision if stored else 0
            if revision >= max(base, self.view.revision):
                return stored
            await self.clock.sleep(STALE_READ_WAIT_S)
        raise MarjoramtideError(
            ErrorCode.VERSION_CONFLICT,
            f"the store holds revision {revision}, but {max(base, self.view.revision)} was "
            "accepted; nothing was written",
            step="settings.read",
        )

    async def _draft(self, request: ChangeRequest, current: Envelope | None) -> Draft:
        base = await self.envelope_at(request.base, current)
        target = request.text
        if request.rollback_to is not None:
            earlier = await self.envelope_at(request.rollback_to, current)
            target = earlier.text if earlier else ""
        # Checking a large tree takes tens of milliseconds, which callers' requests must not wait.
        return await asyncio.to_thread(make_draft, request, base, current, target)

    async def _prepare(
        self, request: ChangeRequest, draft: Draft, current: Envelope | None, report: Report
    ) -> None:
        """Reject the change where a member can't be reached or can't read it.

        A member that is cut off would go on serving by the old settings while the change counts as
        in force. Asked before anything is written, so that a rejection leaves nothing behind.
        """
        await self._meet_announced(request, report)
        report(Progress("prepare", "asking every member whether it can take the change"))
        lineage = current.lineage if current else ""
        base = current.revision if current else 0
        refusals = await self.peers.refusals(draft.edits, lineage, base)
        if not refusals:
            return
        named = [f"{node}: {reason}" for node, reason in refusals.items()]
        if request.insist:
            report(Progress("prepare", "going on without " + "; ".join(named), tuple(refusals)))
            return
        reasons = "; ".join(named[:NODES_NAMED])
        raise _unreachable(
            f"{len(refusals)} members can't take the change: {reasons}", list(refusals)
        )

    async def _meet_announced(self, request: ChangeRequest, report: Report) -> None:
        """Reject the change where this node doesn't know the fleet.

        A node that has just started knows nobody yet, and one that is cut off from the others holds
        them for dead. Either would ask nobody and tell "in force everywhere" while all others go on
        by the old settings. The store knows who announced themselves: those that answer have to be
        met first, and where half of them are silent it may be this side that is cut off.
        """
        announced = await self.trees.announced()
        unseen = self.peers.unseen(announced)
        met = await self.peers.answering(unseen)
        silent = [found.node for found in unseen if found.node not in met]
        strangers = await self._wait_until_met(met, report)
        if request.insist:
            self._go_on_without([*strangers, *silent], report)
        elif strangers:
            raise _unreachable(
                f"{len(strangers)} nodes answer but are no members here yet", strangers
            )
        elif len(silent) * 2 >= len(announced) > 0:
            raise _unreachable(
                f"{len(silent)} of {len(announced)} announced nodes are not seen from here; this "
                "node may be the one that is cut off",
                silent,
            )

    def _go_on_without(self, nodes: list[str], report: Report) -> None:
        """Count nodes that aren't seen as lost just now: they may serve until their bound."""
        if nodes:
            report(Progress("prepare", "going on without nodes not seen", tuple(nodes)))
        now = self.clock.monotonic()
        self.lost_at |= dict.fromkeys(nodes, now)

    async def _wait_until_met(self, nodes: list[str], report: Report) -> list[str]:
        """Wait for membership to find nodes that answer; return those it didn't find."""
        until = self.clock.monotonic() + MEET_S
        while True:
            live = {member.node for member in self.directory.members()}
            missing = [node for node in nodes if node not in live]
            if not missing or self.clock.monotonic() >= until:
                return missing
            report(Progress("prepare", "waiting to meet members", tuple(missing[:NODES_NAMED])))
            await self.clock.sleep(MEET_CHECK_S)

    async def _write(self, stored: StoredTree | None, envelope: Envelope, report: Report) -> bool:
        def doubt(reason: str) -> None:
            report(Progress("write", f"not known yet whether it was accepted: {reason}"))

        report(Progress("write", f"writing revision {envelope.revision}"))
        if stored:
            await self.trees.keep(stored.envelope)
        return await self.trees.write(stored, envelope, doubt)

    async def _settle(
        self,
        request: ChangeRequest,
        envelope: Envelope,
        revision: int,
        report: Report,
        *,
        rebased: bool = False,
        repeated: bool = False,
    ) -> ChangeOutcome:
        report(Progress("accepted", f"accepted as revision {revision}"))
        self.adopter.adopt(envelope, "change")
        laggards = await self._wait_in_force(revision, request.wait_s, report)
        return ChangeOutcome(
            change=request.change,
            revision=revision,
            laggards=tuple(laggards),
            rebased=rebased,
            repeated=repeated,
        )

    async def _wait_in_force(self, revision: int, wait_s: float, report: Report) -> list[str]:
        """Wait until the revision is in force everywhere; return the members where it isn't.

        Live members report it. A member that was found dead a moment ago may only be frozen or cut
        off: it could wake and serve callers by the old settings, after the operator was told that
        the new ones are in force. It stops by itself once its last catching up is older than the
        bound, so nothing is told before that much time has passed since it was lost.
        """
        until = self.clock.monotonic() + wait_s
        told: list[str] | None = None
        while True:
            members = [member for member in self.directory.members() if _counts(member)]
            behind = [member.node for member in members if member.revision < revision]
            laggards = [*behind, *self._lately_lost()]
            if laggards != told:
                level = len(members) - len(behind)
                message = f"in force on {level} of {len(members)} members"
                report(Progress("in-force", message, tuple(laggards[:NODES_NAMED])))
                told = laggards
            if not laggards or self.clock.monotonic() >= until:
                return laggards
            await self.clock.sleep(IN_FORCE_CHECK_S)

    def _lately_lost(self) -> list[str]:
        """Return the members found dead that may still take themselves for current."""
        oldest = self.clock.monotonic() - self.view.freshness.bound_s
        self.lost_at = {node: lost for node, lost in self.lost_at.items() if lost > oldest}
        return list(self.lost_at)


def _counts(member: Member) -> bool:
    return member.state not in (MemberState.LEAVING, MemberState.DEAD)


def _unreachable(message: str, nodes: list[str]) -> MarjoramtideError:
    return MarjoramtideError(
        ErrorCode.MEMBER_UNREACHABLE,
        f"{message}; nothing was written",
        step="settings.prepare",
        peer=", ".join(nodes[:NODES_NAMED]),
    )
