"""Settings questions between nodes."""

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
# Several rounds of questions fit into the bound after which a node stops taking requests.
PULL_TIMEOUT_S = 1.0
PREPARE_TIMEOUT_S = 2.0
PREPARED_AT_ONCE = 32
STRANGERS_AT_ONCE = 128
NOTHING_WANTED = 1 << 62


@attrs.frozen(slots=True)
class PeerAnswer:
    """What a peer has in force; ``envelope`` only where that is newer than what was asked with.

    ``current`` is what the peer says of itself: whether it can know what is in force. ``news`` is
    what it tells besides, empty where it knows of no such news. ``proof_age_s`` is how long ago its
    settings were the newest in the store, ``None`` where it can't say.
    """

    node: str
    revision: int
    current: bool
    envelope: Envelope | None = None
    news: tuple[Any, ...] = ()
    proof_age_s: float | None = None


@attrs.define(slots=True, eq=False, repr=False)
class PeerSettings:
    """Asks other nodes for their settings, and whether they can read a change."""

    directory: Directory
    channel: ControlChannel
    rng: random.Random

    def others(self) -> list[Member]:
        """Return the other members in random order, those of this region first, suspects last.

        When regions lose each other, half of the members stop answering at once, some seconds
        before they are found dead. Asked at random, a node could miss everyone for longer than the
        bound and refuse callers although its region is whole; its own region answers.
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

    def ahead(self, revision: int) -> list[Member]:
        """Return the others that report more than ``revision``, those of this region first."""
        return [member for member in self.others() if member.revision > revision]

    async def pull(self, member: Member, have: int, news: list[Any]) -> PeerAnswer:
        """Ask one member for what it has beyond revision ``have``, and tell it ``news``."""
        body = {"have": have, "news": news}
        # A member that has no more in force answers without its tree.
        is_small = member.revision <= have
        raw = await self.channel.ask(
            member.peer_address, PULL, body, timeout=PULL_TIMEOUT_S, small=is_small
        )
        return decode_pull_response(member, raw)

    async def pull_from(
        self, members: Iterable[Member], have: int, news: Sequence[Any] = ()
    ) -> list[PeerAnswer]:
        """Ask several members at once; return the answers that came."""
        found = await asyncio.gather(
            *(self.pull(member, have, list(news)) for member in members), return_exceptions=True
        )
        for failure in found:
            if isinstance(failure, BaseException) and not isinstance(failure, MarjoramtideError):
                raise failure
        return [answer for answer in found if isinstance(answer, PeerAnswer)]

    async def refusals(self, edits: Iterable[Edit], lineage: str, base: int) -> dict[str, str]:
        """Ask every member that isn't known dead or leaving whether it can take the edits.

        ``base`` is the revision that they are made on top of.

        Returns, for each member that can't or doesn't answer, its identity and the reason.
        """
        body = {
            "edits": [attrs.asdict(edit) for edit in edits],
            "lineage": lineage,
            "base": base,
        }
        gate = asyncio.Semaphore(PREPARED_AT_ONCE)

        async def ask(member: Member) -> str:
            async with gate:
                try:
                    answer = await self.channel.ask(
                        member.peer_address, PREPARE, body, timeout=PREPARE_TIMEOUT_S
                    )
                except MarjoramtideError as error:
                    return str(error)
                return str(answer.get("reason", ""))

        asked = [member for member in self.others() if member.state is not MemberState.LEAVING]
        reasons = await asyncio.gather(*(ask(member) for member in asked))
        return {
            member.node: reason for member, reason in zip(asked, reasons, strict=True) if reason
        }

    def unseen(self, announced: Iterable[Announcement]) -> list[Announcement]:
        """Return the announced nodes that are not among the live members, nor known to leave."""
        live = {member.node for member in self.directory.members()}
        strangers = [found for found in announced if found.node not in live]
        return [found for found in strangers if not self._has_left(found.node)]

    async def answering(self, strangers: Iterable[Announcement]) -> list[str]:
        """Return those that answer all the same; an address may have a new owner by now."""
        gate = asyncio.Semaphore(STRANGERS_AT_ONCE)

        async def ask(stranger: Announcement) -> bool:
            async with gate:
                try:
                    answer = await self.channel.ask(
                        stranger.peer_address,
                        PULL,
                        {"have": NOTHING_WANTED},
                        timeout=PULL_TIMEOUT_S,
                    )
                except MarjoramtideError:
                    return False
                return answer.get("node") == stranger.node

        asked = list(strangers)
        answers = await asyncio.gather(*map(ask, asked))
        return [
            stranger.node
            for stranger, answers_here in zip(asked, answers, strict=True)
            if answers_here
        ]

    def _has_left(self, node: str) -> bool:
        member = self.directory.find(node)
        return member is not None and member.state is MemberState.LEAVING


def encode_answer(
    node: str,
    envelope: Envelope | None,
    have: int,
    current: bool,
    news: list[Any],
    proof_age_s: float = math.inf,
) -> dict[str, Any]:
    """Return the answer to a pull, with the envelope where the asker's revision is older."""
    revision = envelope.revision if envelope else 0
    newer = envelope is not None and revision > have
    return {
        "node": node,
        "revision": revision,
        "current": current,
        "envelope": zlib.compress(envelope.encode()) if envelope and newer else b"",
        "news": news,
        "proof_age_ms": None if math.isinf(proof_age_s) else round(proof_age_s * 1000, 1),
    }


def decode_pull_response(member: Member, raw: dict[str, Any]) -> PeerAnswer:
    """Read the answer to a pull; raises ``bad-frame`` where it isn't one."""
    try:
        packed = raw["envelope"]
        envelope = decode_envelope(zlib.decompress(packed)) if packed else None
        return PeerAnswer(
            member.node,
            int(raw["revision"]),
            raw["current"] is True,
            envelope,
            read_news(raw),
            read_age(raw),
        )
    except (KeyError, TypeError, ValueError, zlib.error) as error:
        raise MarjoramtideError(
            ErrorCode.BAD_FRAME,
            f"not an answer to {PULL}: {error!r}",
            step=PULL,
            peer=member.peer_address,
        ) from error


def read_age(raw: dict[str, Any]) -> float | None:
    """Return the age of a peer's proof in seconds, ``None`` where it has none.

    A node of the version before states none.
    """
    age_ms = raw.get("proof_age_ms")
    if isinstance(age_ms, bool) or not isinstance(age_ms, int | float) or not age_ms >= 0:
        return None
    return age_ms / 1000


def read_news(body: dict[str, Any]) -> tuple[Any, ...]:
    """Return the news that comes with a question or an answer; empty where there is none."""
    news = body.get("news")
    return tuple(news) if isinstance(news, list) else ()
