"""Holds the runs of requests against what was acknowledged in the store."""

from collections.abc import Callable, Iterable, Sequence

import attrs

from soak._callers import MOVED
from soak._judge import Violation
from soak._records import CallerRecord, ServerRecord
from soak._timeline import Disturbance, Timeline

# The bounds in seconds: of a configuration, of an evacuation, how much longer they are while the
# store serves only a part of the nodes, and for how long a node and the store must have been
# undisturbed.
CONFIG_S = 2.0
EVACUATION_S = 5.0
STRETCH_S = 5.0
STABLE_S = 3.0


@attrs.frozen(slots=True)
class HostPlace:
    """What runs at a host, and in which data centre."""

    service: str
    data_centre: str


@attrs.frozen(slots=True)
class ChangeJudge:
    """Tells which runs came by a configuration or against an evacuation that bound their node."""

    timeline: Timeline
    places: Sequence[HostPlace]

    def judge(
        self, callers: Iterable[CallerRecord], servers: Iterable[ServerRecord]
    ) -> list[Violation]:
        """Return the violations of CONFIG and EVAC."""
        by_attempt = {caller.attempt: caller for caller in callers}
        violations = []
        for event in servers:
            caller = by_attempt.get(event.attempt)
            if caller is None or event.event != "run":
                continue
            place = self.places[host_of(event.instance)]
            if caller.kind == MOVED.name and not self.allows(caller, event, place.service):
                violations.append(Violation("CONFIG", caller, (event,)))
            if self.is_evacuated(caller, event, place.data_centre):
                violations.append(Violation("EVAC", caller, (event,)))
        return violations

    def allows(self, caller: CallerRecord, event: ServerRecord, service: str) -> bool:
        """Tell whether a configuration that may be in force sends the request to a service."""
        known = [move for move in self.timeline.moves if move.acked_at <= event.at]
        binding = [move for move in known if self.binds(caller, move.acked_at, CONFIG_S)]
        allowed = known[known.index(binding[-1]) :] if binding else known
        return service in {move.service for move in allowed}

    def is_evacuated(self, caller: CallerRecord, event: ServerRecord, data_centre: str) -> bool:
        """Tell whether a request was sent and run while an evacuation bound its node."""
        return any(
            each.data_centre == data_centre
            and event.at < each.ended_at
            and self.binds(caller, each.acked_at, EVACUATION_S)
            for each in self.timeline.evacuations
        )

    def binds(self, caller: CallerRecord, acked_at: float, bound_s: float) -> bool:
        """Tell whether a change bound the node of a request when the request was sent."""
        sent_at = caller.sent_at
        if sent_at <= acked_at + bound_s:
            return False
        if self.is_disturbed(sent_at - STABLE_S, sent_at, lambda each: each.host == caller.node):
            return False
        if not self.is_disturbed(sent_at - STABLE_S, sent_at, lambda each: each.host is None):
            return True
        # The store serves a part of the nodes: the bound is longer, but not without end.
        return sent_at > acked_at + bound_s + STRETCH_S and not self.is_disturbed(
            acked_at, sent_at, lambda each: each.host is None and not each.is_partial
        )

    def is_disturbed(
        self, since: float, until: float, matches: Callable[[Disturbance], bool]
    ) -> bool:
        return any(
            each.began_at <= until and each.ended_at >= since
            for each in self.timeline.disturbances
            if matches(each)
        )


def host_of(instance: str) -> int:
    """Return the number of the host in the name of a server's incarnation."""
    return int(instance.split("-")[1])
