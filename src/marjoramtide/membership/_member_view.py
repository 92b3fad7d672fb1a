"""A node's view of the membership, and the rules for merging updates."""

from collections import defaultdict

import attrs

from marjoramtide.membership._health import Health
from marjoramtide.membership._member import Member
from marjoramtide.membership._member_entry import MemberEntry, make_entry
from marjoramtide.membership._neighbourhood import Neighbourhood, make_neighbourhood
from marjoramtide.membership._packet import AppliedSettings, Status


class MemberView:
    """The known members by key, with indexes and cached lists.

    Members that are dead or have left are "gone"; all others, suspects included, are "live".
    Merging is idempotent and doesn't depend on the order of updates: ``LEFT`` is final, otherwise
    the higher incarnation wins, then the larger health; the settings revision only increases.
    ``members_of`` returns a cached list that is rebuilt only after a member of the service changed.
    """

    def __init__(self) -> None:
        self.entries: dict[int, MemberEntry] = {}
        self.by_address: dict[str, int] = {}
        self.by_service: dict[str, dict[int, MemberEntry]] = defaultdict(dict)
        self.suspects: dict[int, MemberEntry] = {}
        self.gone: dict[int, MemberEntry] = {}
        self.digest = 0
        self.changes: list[Member] = []
        self.available_cache: dict[str, list[Member]] = {}
        self.members_cache: list[Member] | None = None
        self.live_cache: list[MemberEntry] | None = None
        self.neighbourhood_cache: Neighbourhood | None = None
        self.evacuated: frozenset[str] = frozenset()

    def set_evacuated(self, data_centres: frozenset[str]) -> None:
        """Exclude members in these data centres from ``members_of``, whatever their state."""
        self.evacuated = data_centres
        self.available_cache.clear()

    def add(self, member: Member, status: Status, now: float) -> MemberEntry:
        """Add a new member."""
        entry = make_entry(
            attrs.evolve(member, incarnation=status.incarnation), status.declared, status.health
        )
        self.entries[entry.key] = entry
        self.by_address[member.gossip_address] = entry.key
        self.by_service[member.service][entry.key] = entry
        self.live_cache = None
        self._on_entry_changed(entry, now)
        return entry

    def merge_status(self, status: Status, now: float) -> bool:
        """Merge the status of a known member; return whether it changed the view."""
        entry = self.entries[status.key]
        if not _supersedes(status, entry):
            return False
        entry.member = attrs.evolve(entry.member, incarnation=status.incarnation)
        entry.declared = status.declared
        entry.health = status.health
        entry.is_locally_suspect = False
        self._on_entry_changed(entry, now)
        return True

    def merge_settings(self, key: int, settings: AppliedSettings, now: float) -> bool:
        """Merge the settings in force at a known member; return whether they changed the view."""
        entry = self.entries[key]
        if settings.revision <= entry.member.revision:
            return False
        entry.member = attrs.evolve(
            entry.member, revision=settings.revision, digest=settings.digest
        )
        self._on_entry_changed(entry, now)
        return True

    def set_locally_suspect(self, entry: MemberEntry, is_locally_suspect: bool, now: float) -> None:
        """Set or clear the local suspicion after a failure that this node observed passively."""
        if entry.is_locally_suspect is not is_locally_suspect:
            entry.is_locally_suspect = is_locally_suspect
            self._on_entry_changed(entry, now)

    def remove(self, key: int) -> None:
        """Remove a member from the view entirely."""
        entry = self.entries.pop(key)
        self.gone.pop(key, None)
        self.suspects.pop(key, None)
        self.by_service[entry.member.service].pop(key, None)
        if self.by_address.get(entry.member.gossip_address) == key:
            del self.by_address[entry.member.gossip_address]
        self.digest ^= entry.digest_contribution
        self.live_cache = None
        self._invalidate_caches(entry)

    def members(self) -> list[Member]:
        """Return all live members."""
        if self.members_cache is None:
            self.members_cache = [entry.member for entry in self.live()]
        return self.members_cache

    def members_of(self, service: str) -> list[Member]:
        """Return the members of a service that accept requests."""
        available = self.available_cache.get(service)
        if available is None:
            entries = self.by_service[service].values() if service in self.by_service else ()
            available = [
                entry.member
                for entry in entries
                if entry.member.state.accepts_requests()
                and entry.member.data_centre not in self.evacuated
            ]
            if service in self.by_service:
                self.available_cache[service] = available
        return available

    def live_count(self) -> int:
        return len(self.entries) - len(self.gone)

    def live(self) -> list[MemberEntry]:
        """Return the entries of all live members."""
        if self.live_cache is None:
            self.neighbourhood_cache = None
            self.live_cache = [entry for entry in self.entries.values() if not entry.health.is_gone]
        return self.live_cache

    def neighbourhood(self, own: MemberEntry) -> Neighbourhood:
        """Return the live members other than ``own``, split by data centre."""
        if self.live_cache is None or self.neighbourhood_cache is None:
            others = [entry for entry in self.live() if entry is not own]
            self.neighbourhood_cache = make_neighbourhood(others, own.member)
        return self.neighbourhood_cache

    def _on_entry_changed(self, entry: MemberEntry, now: float) -> None:
        key = entry.key
        state = entry.visible_state()
        if state is not entry.member.state:
            entry.member = attrs.evolve(entry.member, state=state)
        self._update_digest(entry)
        if entry.health.is_gone and key not in self.gone:
            entry.gone_at = now
            self.gone[key] = entry
            self.live_cache = None
        elif not entry.health.is_gone and key in self.gone:
            del self.gone[key]
            self.live_cache = None
        if entry.health is Health.SUSPECT:
            self.suspects[key] = entry
        else:
            entry.suspicion = None
            self.suspects.pop(key, None)
        self._invalidate_caches(entry)
        self.changes.append(entry.member)

    def _update_digest(self, entry: MemberEntry) -> None:
        # Members that are gone are left out of the digest: nodes drop them at different times, and
        # such a difference doesn't need a sync.
        self.digest ^= entry.digest_contribution
        entry.update_state_hash()
        entry.digest_contribution = 0 if entry.health.is_gone else entry.state_hash
        self.digest ^= entry.digest_contribution

    def _invalidate_caches(self, entry: MemberEntry) -> None:
        self.available_cache.pop(entry.member.service, None)
        self.members_cache = None


def _supersedes(status: Status, entry: MemberEntry) -> bool:
    # An identity that left, or whose addresses another process has taken, never returns: a late
    # "alive" update would send requests to the process that has the addresses now.
    if entry.health is Health.LEFT:
        return False
    if status.health is Health.LEFT:
        return True
    known = (entry.member.incarnation, entry.health)
    return (status.incarnation, status.health) > known
