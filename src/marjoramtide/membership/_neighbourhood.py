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
FAR_SHARE = 0.25
# Members of the own data centre below which place does not matter. Among fewer the same ones would
# be told the same news again.
ENOUGH_NEAR = 8


@attrs.frozen(slots=True)
class Neighbourhood:
    """The other live members, those of the own data centre apart from the rest."""

    near: list[MemberEntry]
    far: list[MemberEntry]

    @property
    def goes_by_place(self) -> bool:
        return len(self.near) >= ENOUGH_NEAR and bool(self.far)

    def choose(self, rng: random.Random) -> MemberEntry | None:
        """Return one at random, ``None`` where there is no other."""
        if self.goes_by_place:
            return rng.choice(self.far if rng.random() < FAR_SHARE else self.near)
        others = len(self.near) + len(self.far)
        if not others:
            return None
        place = rng.randrange(others)
        return self.near[place] if place < len(self.near) else self.far[place - len(self.near)]

    def probe_round(self, rng: random.Random) -> list[int]:
        """Return the keys of whom to probe, one after another, in random order.

        All of the own data centre, so that each of these is probed in each round, and as many of
        the others as make ``FAR_SHARE`` of the round.
        """
        far = self.far
        if self.goes_by_place:
            count = round(len(self.near) * FAR_SHARE / (1 - FAR_SHARE))
            far = rng.sample(far, min(len(far), count))
        keys = [entry.key for entry in (*self.near, *far)]
        rng.shuffle(keys)
        return keys

    def beside(self, failing: Member, rng: random.Random) -> list[int]:
        """Return whom to probe next where a member of another data centre doesn't answer.

        Failure: a data centre is lost as a whole. Probed by one datagram in four, twenty of its
        members are held to run for 12 s and more, and requests are sent there. They are probed one
        after another once one of them has failed.
        """
        if not self.goes_by_place:
            return []
        keys = [
            entry.key
            for entry in self.far
            if entry.member.data_centre == failing.data_centre and entry.health is Health.ALIVE
        ]
        rng.shuffle(keys)
        return keys


def make_neighbourhood(others: Iterable[MemberEntry], own: Member) -> Neighbourhood:
    """Sort members by whether they share ``own``'s data centre."""
    made = Neighbourhood([], [])
    for entry in others:
        is_near = entry.member.data_centre == own.data_centre
        (made.near if is_near else made.far).append(entry)
    return made
