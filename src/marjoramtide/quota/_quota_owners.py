"""Chooses the nodes that own the quota of a workspace."""

from collections.abc import Callable

import attrs
import xxhash

from marjoramtide.clock import Clock
from marjoramtide.membership import Directory, Member, MemberState
from marjoramtide.policy.quota import FleetShares

# How often the share is recomputed if no member has changed.
SHARE_REFRESH_S = 1.0
# The longest time after its start that a node relies on the announcements, and the share of the
# announced nodes that it must know to stop doing so earlier.
STARTUP_S = 5.0
STARTUP_KNOWN_SHARE = 0.8
# The assumed size of the fleet until the announcements have been read.
ASSUMED_NODE_COUNT = 100


@attrs.define(slots=True, eq=False, repr=False)
class QuotaOwners:
    """One owner per data centre, by rendezvous hashing of the workspace's name.

    ``members_changed_at`` is when the members of this data centre last changed: a new owner does
    not know what was used before. ``announced_count`` returns how many nodes have announced
    themselves, 0 before that has been read.

    Failure: all nodes start at once, and for a second each knows only some of the others. They
    choose different owners, so several nodes of a data centre each lease out its whole share, and a
    workspace that sends at six times its usual rate gets 175 requests more than its limit in 5 s.
    Until a node knows most of the announced nodes, it owns an equal share of each quota itself, and
    requests no tokens.
    """

    directory: Directory
    clock: Clock
    shares: FleetShares = attrs.Factory(FleetShares)
    members_changed_at: float = attrs.field()
    cached_owners: dict[str, list[Member]] = attrs.Factory(dict)
    own_share: float = 0.0
    share_refresh_at: float = 0.0
    announced_count: Callable[[], int] = lambda: 1
    started_at: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.started_at = self.members_changed_at
        for member in self.directory.members():
            self.shares.node_seen(member.peer_address, data_centre_key(member))

    @members_changed_at.default
    def _default_members_changed_at(self) -> float:
        return self.clock.monotonic()

    def member_changed(self, member: Member) -> bool:
        """Handle a changed member; return whether the owners may have changed."""
        now = self.clock.monotonic()
        address, data_centre = member.peer_address, data_centre_key(member)
        was_present = address in self.shares.present
        if member.state is MemberState.LEAVING:
            self.shares.node_left(address)
        elif member.state is not MemberState.DEAD:
            self.shares.node_seen(address, data_centre)
        elif self._is_latest(member):
            self.shares.node_lost(address, now)
        if was_present == (address in self.shares.present):
            return False
        self.cached_owners.clear()
        self.share_refresh_at = now
        if data_centre == data_centre_key(self.directory.self_member):
            self.members_changed_at = now
        return True

    def owners_of(self, workspace: str) -> list[Member]:
        """Return the owners of a workspace's quota, that of the own data centre first."""
        if self._is_starting(self.clock.monotonic()):
            return [self.directory.self_member]
        owners = self.cached_owners.get(workspace)
        if owners is None:
            owners = self.cached_owners[workspace] = self._choose_owners(workspace)
        return owners

    def share(self) -> float:
        """Return the share of each quota that belongs to this data centre."""
        now = self.clock.monotonic()
        if now >= self.share_refresh_at:
            own = data_centre_key(self.directory.self_member)
            if self._is_starting(now):
                self.own_share = 1 / self._min_node_count(now)
            else:
                self.own_share = self.shares.share(own, now, self._min_node_count(now))
            self.share_refresh_at = now + SHARE_REFRESH_S
        return self.own_share

    def _is_starting(self, now: float) -> bool:
        """Tell whether this node has just started and does not know enough other nodes yet."""
        return len(self.shares.present) < STARTUP_KNOWN_SHARE * self._min_node_count(now)

    def _min_node_count(self, now: float) -> int:
        """Return the minimum size of the fleet according to the announcements."""
        if now - self.started_at >= STARTUP_S:
            return 1
        return self.announced_count() or ASSUMED_NODE_COUNT

    def _choose_owners(self, workspace: str) -> list[Member]:
        own = self.directory.self_member
        members_by_data_centre: dict[str, list[Member]] = {data_centre_key(own): []}
        for member in [*self.directory.members(), own]:
            if member.state is not MemberState.LEAVING:
                members_by_data_centre.setdefault(data_centre_key(member), []).append(member)
        return [
            max(members, key=lambda member: rendezvous_weight(member, workspace))
            for members in members_by_data_centre.values()
            if members
        ]

    def _is_latest(self, member: Member) -> bool:
        """Tell whether no newer incarnation of a node has a dead member's address."""
        return all(other.peer_address != member.peer_address for other in self.directory.members())


def data_centre_key(member: Member) -> str:
    return f"{member.region}/{member.data_centre}"


def rendezvous_weight(member: Member, workspace: str) -> int:
    """Return a member's weight for a workspace (Thaler and Ravishankar, 1996).

    It depends on the member's address, not its identity, so that a restarted node owns the same
    quotas.
    """
    return xxhash.xxh64_intdigest(f"{workspace} {member.peer_address}".encode())
