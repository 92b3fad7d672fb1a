"""Registration heartbeat of a backend server."""

import attrs


@attrs.frozen(slots=True)
class Registration:
    """One heartbeat of a backend server.

    ``instance`` is its identity. ``start_time_ms`` is the Unix time of its start, ``None`` if not
    stated: a restarted server may keep its identity, and then has a later start time. ``sequence``
    increases with each heartbeat of one incarnation, which identifies late heartbeats.
    ``cold_remaining_s`` is the rest of its cold start, ``None`` if not stated.
    """

    instance: str
    address: str
    service: str
    data_centre: str
    software: str
    slots: int
    is_draining: bool
    sequence: int
    cold_remaining_s: float | None
    start_time_ms: int | None = None

    def precedes(self, other: "Registration") -> bool:
        """Return whether this is known to be from an earlier incarnation than ``other``."""
        return is_earlier(self.start_time_ms, other.start_time_ms)

    def is_same_incarnation(self, other: "Registration") -> bool:
        """Return whether both are from the same incarnation, as far as is known."""
        differs = self.precedes(other) or other.precedes(self)
        return self.instance == other.instance and not differs


def is_earlier(start_time_ms: int | None, other: int | None) -> bool:
    """Return whether one start time is before another; false if either is unknown."""
    return start_time_ms is not None and other is not None and start_time_ms < other
