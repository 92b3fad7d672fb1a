"""Selection of gossip and probe targets, mostly in the node's own data centre."""

import random
from collections.abc import Iterable

import attrs

from marjoramtide.membership._health import Health
from marjoramtide.membership._member import Member
from marjoramtide.membership._member_entry import MemberEntry

# Share of datagrams sent to other data centres. With five data centres of 39 nodes, uniform choice
# sends 80 in 100 datagrams across links where bytes are expensive. One in four is enough: an update
# leaves its data centre from each of some forty nodes that gossip it, and a data centre that fails
# as a whole is still probed from all the others.
REMOTE_SHARE = 0.25
# With fewer local peers the choice is uniform, since the same few peers would receive the same
# updates again.
MIN_LOCAL_PEERS = 8


@attrs.frozen(slots=True)
class Neighbourhood:
    """The other live members, split into those in the node's data centre and the remote ones."""

    local: list[MemberEntry]
    remote: list[MemberEntry]

    @property
    def prefers_local(self) -> bool:
        return len(self.local) >= MIN_LOCAL_PEERS and bool(self.remote)

    def choose(self, rng: random.Random) -> MemberEntry | None:
        """Return a random peer, or ``None`` if there is none."""
        if self.prefers_local:
            return rng.choice(self.remote if rng.random() < REMOTE_SHARE else self.local)
        others = len(self.local) + len(self.remote)
        if not others:
            return None
        index = rng.randrange(others)
        return (
            self.local[index] if index < len(self.local) else self.remote[index - len(self.local)]
        )

    def probe_round(self, rng: random.Random) -> list[int]:
        """Return the keys of the members to probe in one round, in random order.

        These are all local members, so that each is probed in every round, and a sample of the
        remote ones that makes up ``REMOTE_SHARE`` of the round.
        """
        remote = self.remote
        if self.prefers_local:
            count = round(len(self.local) * REMOTE_SHARE / (1 - REMOTE_SHARE))
            remote = rng.sample(remote, min(len(remote), count))
        keys = [entry.key for entry in (*self.local, *remote)]
        rng.shuffle(keys)
        return keys

    def keys_in_data_centre_of(self, failing: Member, rng: random.Random) -> list[int]:
        """Return the keys of the other members in a remote data centre where a probe failed.

        They are probed next, one after another. If a whole data centre of twenty members fails and
        is only probed at its usual share of one datagram in four, its members stay alive in the
        view for 12 s and more, and requests are sent to them.
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


def make_neighbourhood(others: Iterable[MemberEntry], own: Member) -> Neighbourhood:
    """Split members by whether they are in ``own``'s data centre."""
    neighbourhood = Neighbourhood([], [])
    for entry in others:
        is_local = entry.member.data_centre == own.data_centre
        (neighbourhood.local if is_local else neighbourhood.remote).append(entry)
    return neighbourhood
