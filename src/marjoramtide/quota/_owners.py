"""Which nodes own the quota of a workspace."""

from collections.abc import Callable

import attrs
import xxhash

from marjoramtide.clock import Clock
from marjoramtide.membership import Directory, Member, MemberState
from marjoramtide.policy.quota import FleetShares

# The share is worked out again after so many seconds, also where no member has changed.
SHARE_AGAIN_S = 1.0
# For how long at most a node that starts goes by the announcements, in seconds, and which share of
# those announced it has met before that when it needs to no longer.
MEETING_S = 5.0
MET_SHARE = 0.8
# As how many nodes it takes the fleet before it has read who is announced.
UNREAD_NODES = 100


@attrs.define(slots=True, eq=False, repr=False)
class Owners:
    """One member of each data centre, by rendezvous hash over the workspace's name.

    ``settled_at`` is when the members of this data centre changed last: what a new owner can't
    know is what was used before. ``announced`` returns how many nodes have announced themselves, 0
    before that was read.

    Failure: all nodes start at once, and for a second each knows some others only. Each of them
    asks whom it takes for the owner, several nodes of a data centre give out its whole part, and a
    workspace that comes at six times its usual gets 175 requests more than agreed in 5 s. Until a
    node has met most of those announced it owns an even share of each quota, and asks nobody.
    """

    directory: Directory
    clock: Clock
    shares: FleetShares = attrs.Factory(FleetShares)
    settled_at: float = attrs.field()
    chosen: dict[str, list[Member]] = attrs.Factory(dict)
    own_share: float = 0.0
    share_due_at: float = 0.0
    announced: Callable[[], int] = lambda: 1
    began_at: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.began_at = self.settled_at
        for member in self.directory.members():
            self.shares.node_seen(member.peer_address, place_of(member))

    @settled_at.default
    def _from_the_start(self) -> float:
        return self.clock.monotonic()

    def member_changed(self, member: Member) -> bool:
        """Take note of a member; tell whether that may change who owns what."""
        now = self.clock.monotonic()
        address, place = member.peer_address, place_of(member)
        was_here = address in self.shares.present
        if member.state is MemberState.LEAVING:
            self.shares.node_left(address)
        elif member.state is not MemberState.DEAD:
            self.shares.node_seen(address, place)
        elif self._is_latest(member):
            self.shares.node_lost(address, now)
        if was_here == (address in self.shares.present):
            return False
        self.chosen.clear()
        self.share_due_at = now
        if place == place_of(self.directory.self_member):
            self.settled_at = now
        return True

    def owners_of(self, workspace: str) -> list[Member]:
        """Return the owners, that of the own data centre first."""
        if self._is_meeting(self.clock.monotonic()):
            return [self.directory.self_member]
        found = self.chosen.get(workspace)
        if found is None:
            found = self.chosen[workspace] = self._choose(workspace)
        return found

    def share(self) -> float:
        """Return which share of each quota belongs to this data centre."""
        now = self.clock.monotonic()
        if now >= self.share_due_at:
            own = place_of(self.directory.self_member)
            if self._is_meeting(now):
                self.own_share = 1 / self._least_known(now)
            else:
                self.own_share = self.shares.share(own, now, self._least_known(now))
            self.share_due_at = now + SHARE_AGAIN_S
        return self.own_share

    def _is_meeting(self, now: float) -> bool:
        """Tell whether this node has started a moment ago and lacks many of the others."""
        return len(self.shares.present) < MET_SHARE * self._least_known(now)

    def _least_known(self, now: float) -> int:
        """Return how many nodes there are at least, by the announcements."""
        if now - self.began_at >= MEETING_S:
            return 1
        return self.announced() or UNREAD_NODES

    def _choose(self, workspace: str) -> list[Member]:
        own = self.directory.self_member
        places: dict[str, list[Member]] = {place_of(own): []}
        for member in [*self.directory.members(), own]:
            if member.state is not MemberState.LEAVING:
                places.setdefault(place_of(member), []).append(member)
        return [
            max(members, key=lambda member: rendezvous_weight(member, workspace))
            for members in places.values()
            if members
        ]

    def _is_latest(self, member: Member) -> bool:
        """Tell whether no other run of a node has taken a dead member's address."""
        return all(other.peer_address != member.peer_address for other in self.directory.members())


def place_of(member: Member) -> str:
    return f"{member.region}/{member.data_centre}"


def rendezvous_weight(member: Member, workspace: str) -> int:
    """Return by what a member is chosen for a workspace (Thaler and Ravishankar, 1996).

    By its address, not its identity: a node that was started anew owns what it owned before.
    """
    return xxhash.xxh64_intdigest(f"{workspace} {member.peer_address}".encode())
