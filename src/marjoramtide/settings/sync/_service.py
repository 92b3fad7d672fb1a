"""The settings part of a node."""

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
from marjoramtide.settings.sync._change_coordinator import ChangeMaker
from marjoramtide.settings.sync._change_outcome import ChangeOutcome
from marjoramtide.settings.sync._change_request import ChangeRequest
from marjoramtide.settings.sync._follower import Follower
from marjoramtide.settings.sync._own_tree_source import OwnTreeSource
from marjoramtide.settings.sync._peer_settings import (
    PREPARE,
    PULL,
    PeerSettings,
    encode_answer,
    read_news,
)
from marjoramtide.settings.sync._progress import Progress, Report
from marjoramtide.settings.sync._proof_renewer import Prover
from marjoramtide.settings.sync._revision_applier import Adopter
from marjoramtide.settings.sync._tree_source import TreeSource
from marjoramtide.settings.sync._tree_store import TreeStore
from marjoramtide.store import ObjectStore


def _silent(_: Progress) -> None:
    """Report to nobody."""


@attrs.define(slots=True, eq=False, repr=False)
class SettingsService:
    """Keeps the view level with the tree in force, answers other nodes, and makes changes.

    For example::

        service = make_settings_service(node_settings, store, directory, channel, SystemClock())
        task = asyncio.create_task(service.run())
        service.view.route("mapdesk", "/tiles/7").timeout_ms
    """

    view: TreeSettingsView
    follower: Follower
    prover: Prover
    change_coordinator: ChangeMaker
    own_freeze: FreezeDetector | None = None
    changes: set["asyncio.Task[ChangeOutcome]"] = attrs.field(factory=set)

    async def run(self) -> None:
        """Follow the tree until cancelled."""
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self.follower.run())
                tasks.create_task(self.prover.run())
                if self.own_freeze:
                    tasks.create_task(self.own_freeze.run())
        finally:
            for change in self.changes:
                change.cancel()

    async def change(self, request: ChangeRequest, report: Report = _silent) -> ChangeOutcome:
        """Make a change; see ``ChangeMaker.make`` for what it raises.

        The change goes on when the operator's connection breaks: given up half-way, a write whose
        answer was lost would stay unresolved. Asking again with the same change id tells its end.
        """
        if not self.follower.trees.source.is_writable:
            raise MarjoramtideError(
                ErrorCode.BAD_SETTINGS,
                "the settings of this fleet are written by another system; change them there",
                step="settings.change",
            )
        task = asyncio.create_task(self.change_coordinator.make(request, report))
        self.changes.add(task)
        task.add_done_callback(self.changes.discard)
        return await asyncio.shield(task)

    async def envelope_at(self, revision: int) -> Envelope:
        """Return an earlier revision; raises ``not-found`` or what the store raises."""
        found = await self.change_coordinator.envelope_at(revision)
        if found is None:
            raise MarjoramtideError(
                ErrorCode.NOT_FOUND, "there is no revision 0", step="settings.history"
            )
        return found

    async def answer_pull(self, body: dict[str, Any]) -> dict[str, Any]:
        """Answer another node that asks what is in force here."""
        node = self.change_coordinator.directory.self_member.node
        have = int(body.get("have", 0))
        if heard := read_news(body):
            self.follower.piggybacked_state.merge_state(list(heard), "a node that asked")
        news = self.follower.piggybacked_state.local_state()
        return encode_answer(
            node,
            self.view.envelope,
            have,
            self.view.is_current,
            news,
            self.view.freshness.proof_age_s,
        )

    async def answer_prepare(self, body: dict[str, Any]) -> dict[str, Any]:
        """Answer whether this node can read a change, with the reason where it can't."""
        envelope = self.view.envelope
        if envelope and body.get("lineage") != envelope.lineage:
            return {"reason": f"follows another tree, of lineage {envelope.lineage}"}
        if envelope and envelope.revision > int(body.get("base", envelope.revision)):
            # A store that came back from a copy lacks what was accepted since. Made on top of the
            # copy, the change would get the number of a revision that is in force here.
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
    """Return the settings part of the node that ``node_settings`` describes.

    A ``freeze`` that is handed in is run by its owner; without one the service runs its own.
    """
    rng = rng or random.Random()
    detector = freeze or FreezeDetector(clock)
    place = Locality(node_settings.region, node_settings.data_centre)
    view = TreeSettingsView(place, Freshness(clock, detector))
    trees = TreeStore(store, clock, rng, source or OwnTreeSource())
    peers = PeerSettings(directory, control_channel, rng)
    adopter = Adopter(view, directory)
    follower = Follower(view, adopter, trees, peers, directory, clock, rng)
    coordinator = ChangeMaker(view, adopter, trees, peers, directory, clock)
    prover = Prover(view, follower, clock, rng)
    service = SettingsService(view, follower, prover, coordinator, None if freeze else detector)
    control_channel.answer(PULL, service.answer_pull)
    control_channel.answer(PREPARE, service.answer_prepare)
    directory.on_change(follower.member_changed)
    directory.on_change(coordinator.member_changed)
    return service
