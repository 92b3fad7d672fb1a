"""Telling other nodes of requests that servers end by."""

import asyncio
import itertools
import random
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from marjoramtide.clock import Clock
from marjoramtide.membership import Directory, Member
from marjoramtide.policy import Quarantine, Suspect, SuspectReport
from marjoramtide.quarantine._gathered_news import GatheredNews
from marjoramtide.quarantine._news_codec import pack_question, pack_suspect_reports

# Between two rounds of what is told again, in seconds, while there is something to tell.
ROUND_S = 0.25
# How often the news of an end is told again to all, each a round later. Where one datagram in
# thirty is lost, so are three in a row in one case of 27,000. Measured in virtual time with that
# loss, 100 fleets each: all of 12, 69 and 195 nodes hold a request back 3 ms after the second end
# where nothing is lost, and after 0.25 s to 0.5 s at the 99th percentile else.
REPEATS = 2
# For how long the news of requests that are cleared of one end is gathered, in seconds. After the
# loss of half of 195 nodes each of the rest completes a dozen of them within a second.
CLEARED_S = 0.2
# For how long requests that were lost with nodes are gathered after the first, in seconds. Many
# nodes may end at one moment, and each of the rest has had something at several of them: told one
# by one and again, the loss of 117 of 195 nodes would be 160,000 datagrams (worked out, with eight
# requests at each), gathered it is 34,000.
NODE_ENDS_S = 0.02
# Guilty requests in the bulletin that goes to one node at random, and the share of the rounds that
# have one. Who has started, was cut off or stood still hears of them from any of the others, on the
# mean half a second later, for 200 bytes a second of each node.
TOLD_AT_RANDOM = 20
SHARE_OF_ROUNDS = 0.5

# When a node that has started asks others of its service what is held back, in seconds after it
# has met the first of them. One that is asked before it knows the new node can't answer.
QUESTIONS_AT_S = (0.0, 0.1, 0.3, 1.0)
ASKED_EACH_TIME = 2
# For how long after it has met another node the answer is waited for, in seconds: a round trip, and
# one more question. A node of the version before gives none.
ANSWER_S = 0.15
# For how long after its start a node that meets nobody waits for such news, in seconds. Others are
# met within 0.03 to 0.16 s; after a loss of all there is nobody to meet, and callers wait.
MEETING_S = 0.2
# The answer where nothing is held back.
NOTHING = SuspectReport(0)

Publish = Callable[[list[Any], Iterable[Member]], None]


class ReportDisseminator:
    """Sends what the quarantine holds to the other nodes beside servers of the same service.

    Only they hand requests to such servers. ``publish`` sends one small piece of news, which may
    be lost: the news of an end is told at once and again, the rest of it by chance.
    """

    def __init__(
        self,
        policy: Quarantine,
        directory: Directory,
        publish: Publish,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.policy = policy
        self.directory = directory
        self.publish = publish
        self.clock = clock
        self.rng = rng
        # Fingerprints that are told to all in the next rounds, and in how many of these.
        self.due: dict[int, int] = {}
        self.cleared: dict[int, None] = {}
        # What was lost with nodes, by the services of these.
        self.gathered: dict[str, GatheredNews] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.news = asyncio.Event()
        self.has_met = False
        self.has_asked = False
        self.is_synced = False
        self.synced_listener: Callable[[], None] = lambda: None

    def tell_at_once(self, suspects: Sequence[Suspect]) -> None:
        """Tell all, and again in the next rounds."""
        if suspects:
            self._tell(suspects, self.mates())
            self.due.update(dict.fromkeys((each.fingerprint for each in suspects), REPEATS))
            self.news.set()

    def tell_soon(self, fingerprint: int) -> None:
        """Tell all of a request that is cleared of the one end it was suspected of.

        Nobody holds it back, but the next end would. Those that were lost with one server are
        completed by others at about the same time, so one bulletin tells of several.
        """
        self.cleared[fingerprint] = None
        if self.timer is None:
            self.timer = asyncio.get_running_loop().call_later(CLEARED_S, self._tell_cleared)

    def tell_beside(self, service: str, suspicions: Sequence[SuspectReport]) -> None:
        """Tell the nodes beside servers of any service: at once, or with what else is lost soon."""
        gathered = self.gathered.get(service)
        if gathered is not None:
            gathered.add(suspicions, self.clock.monotonic())
            return
        self._publish(suspicions, self._beside(service))
        gathered = self.gathered[service] = GatheredNews()
        loop = asyncio.get_running_loop()
        loop.call_later(NODE_ENDS_S, self._tell_gathered, service)
        again = GatheredNews()
        again.add(suspicions, self.clock.monotonic())
        loop.call_later(ROUND_S, self._tell_again, service, again, gathered)

    def member_met(self, member: Member) -> None:
        """Ask what is held back, once, when the first of the others is known.

        Failure: a node starts again, serves its callers at once, and hears only by chance, half a
        second later on the mean, which of their requests end it.
        """
        own = self.directory.self_member
        if member.node == own.node:
            return
        loop = asyncio.get_running_loop()
        if not self.has_met:
            self.has_met = True
            loop.call_later(ANSWER_S, self.note_synced)
        if not self.has_asked and member.service == own.service:
            self.has_asked = True
            self._ask()
            for delay_s in QUESTIONS_AT_S[1:]:
                loop.call_later(delay_s, self._ask)

    def note_synced(self) -> None:
        """Note that others have told, or would have, what is held back."""
        if not self.is_synced:
            self.is_synced = True
            self.synced_listener()

    def answer(self, asking: Member) -> None:
        """Tell one node what is held back, or that nothing is."""
        now = self.clock.monotonic()
        held = [suspect.to_report(now) for suspect in self.policy.restricted()]
        self._publish(held or [NOTHING], [asking])

    def _ask(self) -> None:
        mates = self.mates()
        asked = self.rng.sample(mates, min(len(mates), ASKED_EACH_TIME))
        self.publish(pack_question(), asked)

    def keep_telling(self) -> None:
        """Go on with the rounds: somebody may not know yet what this node has just heard."""
        self.news.set()

    async def run(self) -> None:
        """Play a round now and then while there is something to tell, until cancelled."""
        asyncio.get_running_loop().call_later(MEETING_S, self.note_synced)
        while True:
            await self.news.wait()
            await self.clock.sleep(ROUND_S)
            self.play_round()

    def play_round(self) -> None:
        """Tell what is due to all, and what is held back to one node at random."""
        mates = self.mates()
        self._tell(self._found(self.due), mates)
        self.due = {each: left - 1 for each, left in self.due.items() if left > 1}
        restricted = self.policy.restricted()
        if restricted and mates and self.rng.random() < SHARE_OF_ROUNDS:
            chosen = self.rng.sample(restricted, min(len(restricted), TOLD_AT_RANDOM))
            self._tell(chosen, [self.rng.choice(mates)])
        if not self.due and not restricted:
            self.news.clear()

    def _tell_gathered(self, service: str) -> None:
        gathered = self.gathered.pop(service)
        self._publish(gathered.told(self.clock.monotonic()), self._beside(service))

    def _tell_again(self, service: str, *gathered: GatheredNews) -> None:
        now = self.clock.monotonic()
        told = itertools.chain.from_iterable(each.told(now) for each in gathered)
        self._publish(told, self._beside(service))

    def _tell_cleared(self) -> None:
        self.timer = None
        cleared, self.cleared = self.cleared, {}
        self._tell(self._found(cleared), self.mates())

    def _found(self, fingerprints: Iterable[int]) -> list[Suspect]:
        found = map(self.policy.find, fingerprints)
        return [suspect for suspect in found if suspect is not None]

    def _tell(self, suspects: Iterable[Suspect], readers: Sequence[Member]) -> None:
        now = self.clock.monotonic()
        self._publish((suspect.to_report(now) for suspect in suspects), readers)

    def _publish(self, suspicions: Iterable[SuspectReport], readers: Sequence[Member]) -> None:
        for fields in pack_suspect_reports(suspicions):
            self.publish(fields, readers)

    def mates(self) -> list[Member]:
        """Return the other members beside servers of the own service, in whatever state."""
        return self._beside(self.directory.self_member.service)

    def _beside(self, service: str) -> list[Member]:
        own = self.directory.self_member
        return [
            member
            for member in self.directory.members()
            if member.service == service and member.node != own.node
        ]
