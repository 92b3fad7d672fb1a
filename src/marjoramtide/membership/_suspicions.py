"""The suspicions in a node's view."""

import attrs

from marjoramtide.membership._disseminator import Disseminator
from marjoramtide.membership._health import Health
from marjoramtide.membership._member_view import MemberView
from marjoramtide.membership._packet import Status
from marjoramtide.membership._suspicion import Suspicion
from marjoramtide.membership._swim_options import SwimOptions


class Suspicions:
    """Starts, confirms and expires suspicions, and queues them for dissemination."""

    def __init__(self, view: MemberView, disseminator: Disseminator, options: SwimOptions) -> None:
        self.view = view
        self.disseminator = disseminator
        self.options = options

    def apply_status(self, status: Status, now: float) -> None:
        """Merge a suspicion of a known member, raised by this node or another."""
        entry = self.view.entries[status.key]
        if self.view.merge_status(status, now):
            entry.suspicion = self._new_suspicion(now)
            self.disseminator.statuses.put(entry.key, status.accuser)
        if entry.suspicion is None or status.incarnation != entry.member.incarnation:
            return
        # A suspicion in a full record names no accuser, so it doesn't count as a confirmation.
        if status.accuser and entry.suspicion.confirm(status.accuser):
            self.disseminator.statuses.put(entry.key, status.accuser)

    def confirm_expired(self, now: float) -> None:
        """Declare dead the members whose suspicions expired without a refutation."""
        due = [
            entry
            for entry in self.view.suspects.values()
            if entry.suspicion is not None and now >= entry.suspicion.deadline
        ]
        for entry in due:
            self.view.merge_status(attrs.evolve(entry.status(), health=Health.DEAD), now)
            self.disseminator.statuses.put(entry.key)

    def postpone(self, delay_s: float) -> None:
        """Extend the timeouts of all suspicions."""
        for entry in self.view.suspects.values():
            if entry.suspicion is not None:
                entry.suspicion.started_at += delay_s

    def restart_timers(self, now: float) -> None:
        """Restart the timeouts of all suspicions."""
        for entry in self.view.suspects.values():
            if entry.suspicion is not None:
                entry.suspicion.started_at = now

    def _new_suspicion(self, now: float) -> Suspicion:
        members = self.view.live_count()
        minimum_s = self.options.min_suspicion_timeout_s(members)
        return Suspicion(
            started_at=now,
            shortest_s=minimum_s,
            longest_s=minimum_s * self.options.suspicion_max_ratio,
            confirmations=max(0, min(self.options.suspicion_confirmations, members - 3)),
        )
