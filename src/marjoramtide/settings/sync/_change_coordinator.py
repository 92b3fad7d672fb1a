"""Coordinates the changes of the settings that operators request."""

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
from marjoramtide.settings.sync._peer_settings import PeerSettingsClient
from marjoramtide.settings.sync._progress import Progress, ProgressCallback
from marjoramtide.settings.sync._revision_applier import RevisionApplier
from marjoramtide.settings.sync._tree_store import HISTORY_LENGTH, StoredTree, TreeStore

MAX_STALE_READS = 5
STALE_READ_RETRY_S = 0.2
IN_FORCE_POLL_S = 0.2
DISCOVERY_TIMEOUT_S = 10.0
DISCOVERY_POLL_S = 0.5
MAX_REBASES = 50
MAX_REPORTED_NODES = 20


@attrs.define(slots=True, eq=False, repr=False)
class ChangeCoordinator:
    """Validates a change with the members, commits it with a conditional write and waits for it.

    ``lost_at`` is the time at which each dead member was found dead, or was skipped as unseen.
    """

    view: TreeSettingsView
    applier: RevisionApplier
    trees: TreeStore
    peers: PeerSettingsClient
    directory: Directory
    clock: Clock
    lost_at: dict[str, float] = attrs.field(factory=dict)

    def member_changed(self, member: Member) -> None:
        """Record when a member was found dead; forget it when it returns or leaves."""
        if member.state is MemberState.DEAD:
            self.lost_at.setdefault(member.node, self.clock.monotonic())
        else:
            self.lost_at.pop(member.node, None)

    async def make_change(self, request: ChangeRequest, report: ProgressCallback) -> ChangeOutcome:
        """Make a change; returns once it is in force, or ``wait_s`` after it was accepted.

        Every error but ``store-ambiguous`` means that nothing was written: ``bad-settings``,
        ``not-found``, ``branch-conflict``, ``member-unreachable``, and ``store-unavailable`` or
        ``store-throttled`` where the store rejects the write.
        """
        prepared = False
        for _ in range(MAX_REBASES):
            stored = await self._read(request.base)
            current = stored.envelope if stored else None
            if current and (entry := current.find_change(request.change)):
                return await self._complete(request, current, entry.revision, report, repeated=True)
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
                await self.trees.delete_from_history(envelope.revision - HISTORY_LENGTH)
                return await self._complete(
                    request, envelope, envelope.revision, report, rebased=draft.rebased
                )
            report(Progress("rebase", "another change was written first; retrying on top of it"))
        raise MarjoramtideError(
            ErrorCode.VERSION_CONFLICT,
            f"other changes were written first {MAX_REBASES} times; nothing was written",
            step="settings.change",
        )

    async def envelope_at(self, revision: int, current: Envelope | None = None) -> Envelope | None:
        """Return a revision, from memory if possible, else from the history in the store."""
        if revision == 0:
            return None
        in_memory = (self.view.envelope, current)
        found = next((one for one in in_memory if one and one.revision == revision), None)
        return found or await self.trees.read_history(revision)

    async def _read(self, base: int) -> StoredTree | None:
        """Read the tree, retrying while it is older than a revision known to be accepted."""
        for _ in range(MAX_STALE_READS):
            stored = await self.trees.read()
            revision = stored.envelope.revision if stored else 0
            if revision >= max(base, self.view.revision):
                return stored
            await self.clock.sleep(STALE_READ_RETRY_S)
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
        # Validating a large tree takes tens of milliseconds, which must not block callers'
        # requests.
        return await asyncio.to_thread(make_draft, request, base, current, target)

    async def _prepare(
        self,
        request: ChangeRequest,
        draft: Draft,
        current: Envelope | None,
        report: ProgressCallback,
    ) -> None:
        """Reject the change if a member is unreachable or can't read it.

        A partitioned member would go on serving by the old settings while the change counts as in
        force. Members are asked before anything is written, so that a rejection leaves nothing
        behind.
        """
        await self._check_announced_nodes(request, report)
        report(Progress("prepare", "asking every member whether it can apply the change"))
        lineage = current.lineage if current else ""
        base = current.revision if current else 0
        refusals = await self.peers.collect_refusals(draft.edits, lineage, base)
        if not refusals:
            return
        details = [f"{node}: {reason}" for node, reason in refusals.items()]
        if request.insist:
            report(Progress("prepare", "proceeding without " + "; ".join(details), tuple(refusals)))
            return
        reasons = "; ".join(details[:MAX_REPORTED_NODES])
        raise _unreachable(
            f"{len(refusals)} members can't apply the change: {reasons}", list(refusals)
        )

    async def _check_announced_nodes(
        self, request: ChangeRequest, report: ProgressCallback
    ) -> None:
        """Reject the change if this node doesn't know the fleet.

        A node that has just started knows no members yet, and one that is partitioned considers all
        others dead. Either would ask nobody and report "in force everywhere" while all others go on
        by the old settings. The store lists the nodes that announced themselves: those that respond
        must become members here first, and where half of them or more don't respond, this node may
        be on the minority side of a partition.
        """
        announced = await self.trees.read_announcements()
        unknown = self.peers.unknown_nodes(announced)
        responding = await self.peers.probe_unknown(unknown)
        unresponsive = [found.node for found in unknown if found.node not in responding]
        undiscovered = await self._wait_until_discovered(responding, report)
        if request.insist:
            self._proceed_without([*undiscovered, *unresponsive], report)
        elif undiscovered:
            raise _unreachable(
                f"{len(undiscovered)} nodes respond but are not members here yet", undiscovered
            )
        elif len(unresponsive) * 2 >= len(announced) > 0:
            raise _unreachable(
                f"{len(unresponsive)} of {len(announced)} announced nodes are not seen from here; "
                "this node may be the one that is cut off",
                unresponsive,
            )

    def _proceed_without(self, nodes: list[str], report: ProgressCallback) -> None:
        """Count unseen nodes as lost now: they may serve until their freshness limit."""
        if nodes:
            report(Progress("prepare", "proceeding without nodes that are not seen", tuple(nodes)))
        now = self.clock.monotonic()
        self.lost_at |= dict.fromkeys(nodes, now)

    async def _wait_until_discovered(self, nodes: list[str], report: ProgressCallback) -> list[str]:
        """Wait for membership to discover these nodes; return those that it didn't."""
        until = self.clock.monotonic() + DISCOVERY_TIMEOUT_S
        while True:
            live = {member.node for member in self.directory.members()}
            missing = [node for node in nodes if node not in live]
            if not missing or self.clock.monotonic() >= until:
                return missing
            report(
                Progress(
                    "prepare",
                    "waiting for membership to discover nodes",
                    tuple(missing[:MAX_REPORTED_NODES]),
                )
            )
            await self.clock.sleep(DISCOVERY_POLL_S)

    async def _write(
        self, stored: StoredTree | None, envelope: Envelope, report: ProgressCallback
    ) -> bool:
        def on_uncertain(reason: str) -> None:
            report(Progress("write", f"not known yet whether it was accepted: {reason}"))

        report(Progress("write", f"writing revision {envelope.revision}"))
        if stored:
            await self.trees.save_to_history(stored.envelope)
        return await self.trees.write(stored, envelope, on_uncertain)

    async def _complete(
        self,
        request: ChangeRequest,
        envelope: Envelope,
        revision: int,
        report: ProgressCallback,
        *,
        rebased: bool = False,
        repeated: bool = False,
    ) -> ChangeOutcome:
        report(Progress("accepted", f"accepted as revision {revision}"))
        self.applier.apply(envelope, "change")
        laggards = await self._wait_in_force(revision, request.wait_s, report)
        return ChangeOutcome(
            change=request.change,
            revision=revision,
            laggards=tuple(laggards),
            rebased=rebased,
            repeated=repeated,
        )

    async def _wait_in_force(
        self, revision: int, wait_s: float, report: ProgressCallback
    ) -> list[str]:
        """Wait until the revision is in force everywhere; return the members where it isn't.

        Live members report their revision through membership. A member that was found dead recently
        may only be frozen or partitioned: it could serve callers by the old settings after the
        operator was told that the new ones are in force. It stops by itself once it last caught up
        longer ago than its freshness limit, so the change isn't reported as in force until that
        much time has passed since the member was lost.
        """
        until = self.clock.monotonic() + wait_s
        reported: list[str] | None = None
        while True:
            members = [member for member in self.directory.members() if _is_active(member)]
            behind = [member.node for member in members if member.revision < revision]
            laggards = [*behind, *self._recently_lost()]
            if laggards != reported:
                in_force_count = len(members) - len(behind)
                message = f"in force on {in_force_count} of {len(members)} members"
                report(Progress("in-force", message, tuple(laggards[:MAX_REPORTED_NODES])))
                reported = laggards
            if not laggards or self.clock.monotonic() >= until:
                return laggards
            await self.clock.sleep(IN_FORCE_POLL_S)

    def _recently_lost(self) -> list[str]:
        """Return the dead members that may still consider their settings current."""
        oldest = self.clock.monotonic() - self.view.freshness.max_age_s
        self.lost_at = {node: lost for node, lost in self.lost_at.items() if lost > oldest}
        return list(self.lost_at)


def _is_active(member: Member) -> bool:
    return member.state not in (MemberState.LEAVING, MemberState.DEAD)


def _unreachable(message: str, nodes: list[str]) -> MarjoramtideError:
    return MarjoramtideError(
        ErrorCode.MEMBER_UNREACHABLE,
        f"{message}; nothing was written",
        step="settings.prepare",
        peer=", ".join(nodes[:MAX_REPORTED_NODES]),
    )
