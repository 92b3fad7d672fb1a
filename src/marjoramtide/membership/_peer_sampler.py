"""Whom a node gossips with and probes: mostly members of its own data centre."""

import random
from collections.abc import Iterable

import attrs

from marjoramtide.membership._health import Health
from marjoramtide.membership._member import Member
from marjoramtide.membership._member_entry import MemberEntry

# The share of datagrams that leave the data centre where it has members enough. Among five data
# centres of 39 nodes a choice without regard to place sends 80 in 100 across, where bytes are dear.
# One in four is enough: a piece of news leaves each data centre with each of some forty nodes that
# pass it on, and a data centre that is lost as a whole is still probed from all the others.
REMOTE_SHARE = 0.25
# Members of the own data centre below which place does not matter. Among fewer the same ones would
# be told the same news again.
MIN_LOCAL_PEERS = 8


@attrs.frozen(slots=True)
class PeerSampler:
    """The other live members, those of the own data centre apart from the rest."""

    local: list[MemberEntry]
    remote: list[MemberEntry]

    @property
    def prefers_local(self) -> bool:
        return len(self.local) >= MIN_LOCAL_PEERS and bool(self.remote)

    def choose(self, rng: random.Random) -> MemberEntry | None:
        """Return one at random, ``None`` where there is no other."""
        if self.prefers_local:
            return rng.choice(self.remote if rng.random() < REMOTE_SHARE else self.local)
        others = len(self.local) + len(self.remote)
        if not others:
            return None
        index = rng.randrange(others)
        return self.local[index] if index < len(self.local) else self.remote[index - len(self.local)]

    def probe_round(self, rng: random.Random) -> list[int]:
        """Return the keys of whom to probe, one after another, in random order.

        All of the own data centre, so that each of these is probed in each round, and as many of
        the others as make ``FAR_SHARE`` of the round.
        """
        remote = self.remote
        if self.prefers_local:
            count = round(len(self.local) * REMOTE_SHARE / (1 - REMOTE_SHARE))
            remote = rng.sample(remote, min(len(remote), count))
        keys = [entry.key for entry in (*self.local, *remote)]
        rng.shuffle(keys)
        return keys

    def in_same_data_centre(self, failing: Member, rng: random.Random) -> list[int]:
        """Return whom to probe next where a member of another data centre doesn't answer.

        Failure: a data centre is lost as a whole. Probed by one datagram in four, twenty of its
        members are held to run for 12 s and more, and requests are sent there. They are probed one
        after another once one of them has failed.
        """
        if not self.prefers_local:
            return []
        keys = [
            entry.key
            for entry in self.remote
            if entry.member.data_centre == failing.data_centre and entry.health is Health.ALIVE
        ]
        rng.shuffle(keys)
        return keys


def make_peer_sampler(others: Iterable[MemberEntry], own: Member) -> PeerSampler:
    """Sort members by whether they share ``own``'s data centre."""
    sampler = PeerSampler([], [])
    for entry in others:
        is_local = entry.member.data_centre == own.data_centre
        (sampler.local if is_local else sampler.remote).append(entry)
    return sampler
