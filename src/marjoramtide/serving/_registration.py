"""What a backend server tells of itself when it registers."""

import attrs


@attrs.frozen(slots=True)
class Registration:
    """One heartbeat of a backend server.

    ``instance`` is its identity, and ``born`` the Unix time of its start in milliseconds, where it
    tells that: one that starts again may keep its identity, and is then known by a later ``born``.
    ``sequence`` grows with each heartbeat of one start, so that a late one is known.
    ``cold_left_s`` is for how much longer it is slow after its start, in seconds, ``None`` where it
    has not told that.
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
        """Tell whether this is known to be of an earlier start than ``other``."""
        return is_earlier(self.start_time_ms, other.start_time_ms)

    def is_same_incarnation(self, other: "Registration") -> bool:
        """Tell whether both are of one start, as far as is known."""
        differs = self.precedes(other) or other.precedes(self)
        return self.instance == other.instance and not differs


def is_earlier(born: int | None, other: int | None) -> bool:
    """Tell whether one time of birth is before another; false where either isn't known."""
    return born is not None and other is not None and born < other
