"""Settings requests between nodes."""

import asyncio
import math
import random
import zlib
from collections.abc import Iterable, Sequence
from typing import Any

import attrs

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.membership import Announcement, Directory, Member, MemberState
from marjoramtide.peers import ControlChannel
from marjoramtide.settings._edit import Edit
from marjoramtide.settings._envelope import Envelope, decode_envelope

PULL = "settings.pull"
PREPARE = "settings.prepare"
# Several rounds of pulls fit into the time after which a node that hasn't caught up stops taking
# callers' requests.
PULL_TIMEOUT_S = 1.0
PREPARE_TIMEOUT_S = 2.0
PREPARE_CONCURRENCY = 32
PROBE_CONCURRENCY = 128
NO_ENVELOPE_WANTED = 1 << 62


@attrs.frozen(slots=True)
class PullResponse:
    """What a peer has in force; ``envelope`` only if it is newer than the requester's revision.

    ``is_current`` is the peer's own statement whether it can know what is in force. ``piggybacked``
    is its ``PiggybackedState``, empty if it has none. ``proof_age_s`` is how long ago its settings
    were known to be the newest in the store, ``None`` if it can't tell.
    """

    node: str
    revision: int
    is_current: bool
    envelope: Envelope | None = None
    piggybacked: tuple[Any, ...] = ()
    proof_age_s: float | None = None


@attrs.define(slots=True, eq=False, repr=False)
class PeerSettingsClient:
    """Pulls settings from other nodes, and asks them whether they can read a change."""

    directory: Directory
    channel: ControlChannel
    rng: random.Random

    def other_members(self) -> list[Member]:
        """Return the other members in random order: own region first, suspected members last.

        When regions are partitioned, half of the members stop responding at once, some seconds
        before they are found dead. In purely random order, a node could miss everyone for longer
        than the freshness limit and refuse callers although its own region works.
        """
        here = self.directory.self_member
        found = [member for member in self.directory.members() if member.node != here.node]
        self.rng.shuffle(found)
        return sorted(
            found,
            key=lambda member: (
                member.state is MemberState.SUSPECT,
                member.region != here.region,
            ),
        )

    def members_ahead(self, revision: int) -> list[Member]:
        """Return the members that report a revision newer than ``revision``, own region first."""
        return [member for member in self.other_members() if member.revision > revision]

    async def pull(self, member: Member, own_revision: int, piggybacked: list[Any]) -> PullResponse:
        """Pull what one member has beyond ``own_revision``, and send it the piggybacked state."""
        body = {"have": own_revision, "news": piggybacked}
        # A member without a newer revision sends no tree in its response.
        is_small = member.revision <= own_revision
        raw = await self.channel.ask(
            member.peer_address, PULL, body, timeout=PULL_TIMEOUT_S, small=is_small
        )
        return decode_pull_response(member, raw)

    async def pull_from(
        self, members: Iterable[Member], own_revision: int, piggybacked: Sequence[Any] = ()
    ) -> list[PullResponse]:
        """Pull from several members concurrently; return the successful responses."""
        found = await asyncio.gather(
            *(self.pull(member, own_revision, list(piggybacked)) for member in members),
            return_exceptions=True,
        )
        for failure in found:
            if isinstance(failure, BaseException) and not isinstance(failure, MarjoramtideError):
                raise failure
        return [response for response in found if isinstance(response, PullResponse)]

    async def collect_refusals(
        self, edits: Iterable[Edit], lineage: str, base: int
    ) -> dict[str, str]:
        """Ask every member that isn't known dead or leaving whether it can apply the edits.

        ``base`` is the revision that the edits are applied to.

        Returns the reason for each node that refuses or doesn't respond.
        """
        body = {
            "edits": [attrs.asdict(edit) for edit in edits],
            "lineage": lineage,
            "base": base,
        }
        semaphore = asyncio.Semaphore(PREPARE_CONCURRENCY)

        async def prepare(member: Member) -> str:
            async with semaphore:
                try:
                    response = await self.channel.ask(
                        member.peer_address, PREPARE, body, timeout=PREPARE_TIMEOUT_S
                    )
                except MarjoramtideError as error:
                    return str(error)
                return str(response.get("reason", ""))

        members = [
            member for member in self.other_members() if member.state is not MemberState.LEAVING
        ]
        reasons = await asyncio.gather(*(prepare(member) for member in members))
        return {
            member.node: reason for member, reason in zip(members, reasons, strict=True) if reason
        }

    def unknown_nodes(self, announced: Iterable[Announcement]) -> list[Announcement]:
        """Return the announced nodes that are neither live members nor known to be leaving."""
        live = {member.node for member in self.directory.members()}
        nodes = [found for found in announced if found.node not in live]
        return [found for found in nodes if not self._has_left(found.node)]

    async def probe_unknown(self, nodes: Iterable[Announcement]) -> list[str]:
        """Return the nodes that respond although they aren't members.

        The response names its sender, since an address may belong to another node by now.
        """
        semaphore = asyncio.Semaphore(PROBE_CONCURRENCY)

        async def probe(node: Announcement) -> bool:
            async with semaphore:
                try:
                    response = await self.channel.ask(
                        node.peer_address,
                        PULL,
                        {"have": NO_ENVELOPE_WANTED},
                        timeout=PULL_TIMEOUT_S,
                    )
                except MarjoramtideError:
                    return False
                return response.get("node") == node.node

        probed = list(nodes)
        responses = await asyncio.gather(*map(probe, probed))
        return [
            node.node
            for node, has_responded in zip(probed, responses, strict=True)
            if has_responded
        ]

    def _has_left(self, node: str) -> bool:
        member = self.directory.find(node)
        return member is not None and member.state is MemberState.LEAVING


def encode_pull_response(
    node: str,
    envelope: Envelope | None,
    requester_revision: int,
    is_current: bool,
    piggybacked: list[Any],
    proof_age_s: float = math.inf,
) -> dict[str, Any]:
    """Return the response to a pull, with the envelope if the requester's revision is older."""
    revision = envelope.revision if envelope else 0
    newer = envelope is not None and revision > requester_revision
    return {
        "node": node,
        "revision": revision,
        "current": is_current,
        "envelope": zlib.compress(envelope.encode()) if envelope and newer else b"",
        "news": piggybacked,
        "proof_age_ms": None if math.isinf(proof_age_s) else round(proof_age_s * 1000, 1),
    }


def decode_pull_response(member: Member, raw: dict[str, Any]) -> PullResponse:
    """Parse a pull response; raises ``bad-frame`` if it is malformed."""
    try:
        packed = raw["envelope"]
        envelope = decode_envelope(zlib.decompress(packed)) if packed else None
        return PullResponse(
            member.node,
            int(raw["revision"]),
            raw["current"] is True,
            envelope,
            read_piggybacked_state(raw),
            read_proof_age_s(raw),
        )
    except (KeyError, TypeError, ValueError, zlib.error) as error:
        raise MarjoramtideError(
            ErrorCode.BAD_FRAME,
            f"not a response to {PULL}: {error!r}",
            step=PULL,
            peer=member.peer_address,
        ) from error


def read_proof_age_s(raw: dict[str, Any]) -> float | None:
    """Return the age of a peer's proof in seconds, ``None`` if it has none.

    Nodes of the previous version don't send the field.
    """
    age_ms = raw.get("proof_age_ms")
    if isinstance(age_ms, bool) or not isinstance(age_ms, int | float) or not age_ms >= 0:
        return None
    return age_ms / 1000


def read_piggybacked_state(body: dict[str, Any]) -> tuple[Any, ...]:
    """Return the piggybacked state of a pull request or response; empty if there is none."""
    piggybacked = body.get("news")
    return tuple(piggybacked) if isinstance(piggybacked, list) else ()
