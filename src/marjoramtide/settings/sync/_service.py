"""The settings service of a node."""

import asyncio
import random
from typing import Any

import attrs

from marjoramtide.clock import Clock, FreezeDetector
from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.membership import Directory
from marjoramtide.peers import ControlChannel
from marjoramtide.settings._edit import EditAction, parse_edits
from marjoramtide.settings._envelope import Envelope
from marjoramtide.settings._freshness import Freshness
from marjoramtide.settings._locality import Locality
from marjoramtide.settings._node_settings import NodeSettings
from marjoramtide.settings._tree import check_value
from marjoramtide.settings._tree_view import TreeSettingsView
from marjoramtide.settings.sync._change_coordinator import ChangeCoordinator
from marjoramtide.settings.sync._change_outcome import ChangeOutcome
from marjoramtide.settings.sync._change_request import ChangeRequest
from marjoramtide.settings.sync._follower import Follower
from marjoramtide.settings.sync._own_tree_source import OwnTreeSource
from marjoramtide.settings.sync._peer_settings import (
    PREPARE,
    PULL,
    PeerSettingsClient,
    encode_pull_response,
    read_piggybacked_state,
)
from marjoramtide.settings.sync._progress import Progress, ProgressCallback
from marjoramtide.settings.sync._proof_renewer import ProofRenewer
from marjoramtide.settings.sync._revision_applier import RevisionApplier
from marjoramtide.settings.sync._tree_source import TreeSource
from marjoramtide.settings.sync._tree_store import TreeStore
from marjoramtide.store import ObjectStore


def _ignore_progress(_: Progress) -> None:
    """Discard progress reports."""


@attrs.define(slots=True, eq=False, repr=False)
class SettingsService:
    """Keeps the view up to date with the tree, answers other nodes, and makes changes.

    For example::

        service = make_settings_service(node_settings, store, directory, channel, SystemClock())
        task = asyncio.create_task(service.run())
        service.view.route("mapdesk", "/tiles/7").timeout_ms
    """

    view: TreeSettingsView
    follower: Follower
    proof_renewer: ProofRenewer
    change_coordinator: ChangeCoordinator
    own_freeze_detector: FreezeDetector | None = None
    running_changes: set["asyncio.Task[ChangeOutcome]"] = attrs.field(factory=set)

    async def run(self) -> None:
        """Follow the tree until cancelled."""
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self.follower.run())
                tasks.create_task(self.proof_renewer.run())
                if self.own_freeze_detector:
                    tasks.create_task(self.own_freeze_detector.run())
        finally:
            for change in self.running_changes:
                change.cancel()

    async def change(
        self, request: ChangeRequest, report: ProgressCallback = _ignore_progress
    ) -> ChangeOutcome:
        """Make a change; see ``ChangeCoordinator.make_change`` for what it raises.

        The change continues if the operator's connection breaks: cancelled half-way, a write whose
        response was lost would never be resolved. A request with the same change id returns its
        result.
        """
        if not self.follower.trees.source.is_writable:
            raise MarjoramtideError(
                ErrorCode.BAD_SETTINGS,
                "the settings of this fleet are written by another system; change them there",
                step="settings.change",
            )
        task = asyncio.create_task(self.change_coordinator.make_change(request, report))
        self.running_changes.add(task)
        task.add_done_callback(self.running_changes.discard)
        return await asyncio.shield(task)

    async def envelope_at(self, revision: int) -> Envelope:
        """Return an earlier revision; raises ``not-found`` or the store's errors."""
        found = await self.change_coordinator.envelope_at(revision)
        if found is None:
            raise MarjoramtideError(
                ErrorCode.NOT_FOUND, "there is no revision 0", step="settings.history"
            )
        return found

    async def answer_pull(self, body: dict[str, Any]) -> dict[str, Any]:
        """Answer a pull of another node with what is in force here."""
        node = self.change_coordinator.directory.self_member.node
        requester_revision = int(body.get("have", 0))
        if state := read_piggybacked_state(body):
            self.follower.piggybacked_state.merge_state(list(state), "pull request")
        local_state = self.follower.piggybacked_state.local_state()
        return encode_pull_response(
            node,
            self.view.envelope,
            requester_revision,
            self.view.is_current,
            local_state,
            self.view.freshness.proof_age_s,
        )

    async def answer_prepare(self, body: dict[str, Any]) -> dict[str, Any]:
        """Answer whether this node can apply a change, with the reason if it can't."""
        envelope = self.view.envelope
        if envelope and body.get("lineage") != envelope.lineage:
            return {"reason": f"follows another tree, of lineage {envelope.lineage}"}
        if envelope and envelope.revision > int(body.get("base", envelope.revision)):
            # A store that was restored from a backup lacks the newest changes. A change on top of
            # the backup would reuse the number of a revision that is in force here.
            return {"reason": f"has revision {envelope.revision} in force, newer than the store's"}
        try:
            edits = parse_edits(body.get("edits"))
        except MarjoramtideError as error:
            return {"reason": error.message}
        problems = [
            problem
            for edit in edits
            if edit.action is EditAction.SET
            for problem in check_value(edit.branch, edit.key, edit.value)
        ]
        return {"reason": "; ".join(problems)}


def make_settings_service(
    node_settings: NodeSettings,
    store: ObjectStore,
    directory: Directory,
    control_channel: ControlChannel,
    clock: Clock,
    rng: random.Random | None = None,
    freeze: FreezeDetector | None = None,
    source: TreeSource | None = None,
) -> SettingsService:
    """Return the settings service of the node that ``node_settings`` describes.

    The owner of a given ``freeze`` detector runs it; without one the service runs its own.
    """
    rng = rng or random.Random()
    detector = freeze or FreezeDetector(clock)
    locality = Locality(node_settings.region, node_settings.data_centre)
    view = TreeSettingsView(locality, Freshness(clock, detector))
    trees = TreeStore(store, clock, rng, source or OwnTreeSource())
    peers = PeerSettingsClient(directory, control_channel, rng)
    applier = RevisionApplier(view, directory)
    follower = Follower(view, applier, trees, peers, directory, clock, rng)
    coordinator = ChangeCoordinator(view, applier, trees, peers, directory, clock)
    proof_renewer = ProofRenewer(view, follower, clock, rng)
    service = SettingsService(
        view, follower, proof_renewer, coordinator, None if freeze else detector
    )
    control_channel.register_handler(PULL, service.answer_pull)
    control_channel.register_handler(PREPARE, service.answer_prepare)
    directory.on_change(follower.member_changed)
    directory.on_change(coordinator.member_changed)
    return service
