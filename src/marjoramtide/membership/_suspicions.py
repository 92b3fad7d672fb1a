"""The suspicions that a node holds."""

import attrs

from marjoramtide.membership._disseminator import Disseminator
from marjoramtide.membership._health import Health
from marjoramtide.membership._member_view import MemberView
from marjoramtide.membership._packet import Status
from marjoramtide.membership._suspicion import Suspicion
from marjoramtide.membership._swim_options import SwimOptions


class Suspicions:
    """Starts, confirms and ends suspicions, and passes them on."""

    def __init__(self, view: MemberView, disseminator: Disseminator, options: SwimOptions) -> None:
        self.view = view
        self.disseminator = disseminator
        self.options = options

    def apply_status(self, status: Status, now: float) -> None:
        """Take an accusation of a known member, this node's own or another's."""
        entry = self.view.entries[status.key]
        if self.view.merge_status(status, now):
            entry.suspicion = self._new_suspicion(now)
            self.disseminator.statuses.put(entry.key, status.accuser)
        if entry.suspicion is None or status.incarnation != entry.member.incarnation:
            return
        # A suspicion that came with a whole record names no accuser: it is no further evidence.
        if status.accuser and entry.suspicion.confirm(status.accuser):
            self.disseminator.statuses.put(entry.key, status.accuser)

    def expire(self, now: float) -> None:
        """Believe the suspicions that nobody refuted in time."""
        due = [
            entry
            for entry in self.view.suspects.values()
            if entry.suspicion is not None and now >= entry.suspicion.deadline
        ]
        for entry in due:
            self.view.merge_status(attrs.evolve(entry.status(), health=Health.DEAD), now)
            self.disseminator.statuses.put(entry.key)

    def postpone(self, gap: float) -> None:
        """Give all suspicions more time."""
        for entry in self.view.suspects.values():
            if entry.suspicion is not None:
                entry.suspicion.started_at += gap

    def restart_timers(self, now: float) -> None:
        """Start the time of all suspicions now."""
        for entry in self.view.suspects.values():
            if entry.suspicion is not None:
                entry.suspicion.started_at = now

    def _new_suspicion(self, now: float) -> Suspicion:
        members = self.view.alive_count()
        shortest = self.options.min_suspicion_timeout_s(members)
        return Suspicion(
            started_at=now,
            shortest_s=shortest,
            longest_s=shortest * self.options.suspicion_max_ratio,
            confirmations=max(0, min(self.options.suspicion_confirmations, members - 3)),
        )
