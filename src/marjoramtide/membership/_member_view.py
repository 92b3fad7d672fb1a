"""All members a node knows, and the rules by which news changes them."""

from collections import defaultdict

import attrs

from marjoramtide.membership._health import Health
from marjoramtide.membership._member import Member
from marjoramtide.membership._member_entry import MemberEntry, make_entry
from marjoramtide.membership._packet import AppliedSettings, Status
from marjoramtide.membership._peer_sampler import PeerSampler, make_peer_sampler


class MemberView:
    """The members by key, with what is derived from them.

    News is merged so that the order and number of its arrivals does not matter: ``LEFT`` is final,
    else the higher incarnation wins, else the graver health; the settings revision only rises.
    ``members_of`` answers from a list that is rebuilt only after a member of the service changed.
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
        self.cached_sampler: PeerSampler | None = None
        self.evacuated: frozenset[str] = frozenset()

    def set_evacuated(self, data_centres: frozenset[str]) -> None:
        """Have members in these data centres take no work, whatever they say of themselves."""
        self.evacuated = data_centres
        self.available_cache.clear()

    def add(self, member: Member, status: Status, now: float) -> MemberEntry:
        """Add a member that is not known yet."""
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
        """Apply a status of a known member; return whether it was news."""
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
        """Apply the settings that a known member has in force; return whether it was news."""
        entry = self.entries[key]
        if settings.revision <= entry.member.revision:
            return False
        entry.member = attrs.evolve(
            entry.member, revision=settings.revision, digest=settings.digest
        )
        self._on_entry_changed(entry, now)
        return True

    def set_locally_suspect(self, entry: MemberEntry, is_locally_suspect: bool, now: float) -> None:
        """Set or clear this node's own passive sign of failure."""
        if entry.is_locally_suspect is not is_locally_suspect:
            entry.is_locally_suspect = is_locally_suspect
            self._on_entry_changed(entry, now)

    def remove(self, key: int) -> None:
        """Drop an entry without a trace."""
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
        """Return all members that are not known to be dead."""
        if self.members_cache is None:
            self.members_cache = [entry.member for entry in self.live()]
        return self.members_cache

    def members_of(self, service: str) -> list[Member]:
        """Return the members of a service that may take work."""
        found = self.available_cache.get(service)
        if found is None:
            entries = self.by_service[service].values() if service in self.by_service else ()
            found = [
                entry.member
                for entry in entries
                if entry.member.state.accepts_requests()
                and entry.member.data_centre not in self.evacuated
            ]
            if service in self.by_service:
                self.available_cache[service] = found
        return found

    def alive_count(self) -> int:
        return len(self.entries) - len(self.gone)

    def live(self) -> list[MemberEntry]:
        """Return the entries that are not gone, to choose from."""
        if self.live_cache is None:
            self.cached_sampler = None
            self.live_cache = [entry for entry in self.entries.values() if not entry.health.is_gone]
        return self.live_cache

    def peer_sampler(self, own: MemberEntry) -> PeerSampler:
        """Return the live entries but one's own, apart by whether they share its data centre."""
        if self.live_cache is None or self.cached_sampler is None:
            others = [entry for entry in self.live() if entry is not own]
            self.cached_sampler = make_peer_sampler(others, own.member)
        return self.cached_sampler

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
        # Members that are gone don't count: nodes forget them at different moments, which is no
        # difference worth pulling for.
        self.digest ^= entry.digest_contribution
        entry.update_state_hash()
        entry.digest_contribution = 0 if entry.health.is_gone else entry.state_hash
        self.digest ^= entry.digest_contribution

    def _invalidate_caches(self, entry: MemberEntry) -> None:
        self.available_cache.pop(entry.member.service, None)
        self.members_cache = None


def _supersedes(status: Status, entry: MemberEntry) -> bool:
    # An identity that left, or whose addresses another process took, never returns: a late
    # "alive" about it would send requests to whoever has its addresses now.
    if entry.health is Health.LEFT:
        return False
    if status.health is Health.LEFT:
        return True
    known = (entry.member.incarnation, entry.health)
    return (status.incarnation, status.health) > known
