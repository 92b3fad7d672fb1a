"""Incarnations of backend servers that have ended."""

from marjoramtide.serving._registration import Registration

# Number of instances that are remembered. A heartbeat delayed by a network partition is at most
# minutes late; if an instance is replaced every second, this covers the last minute.
MAX_INSTANCES = 64


class EndedIncarnations:
    """Remembers the latest ended incarnation of each of the last instances.

    Otherwise a delayed heartbeat that arrives after the departure of its sender would register a
    server that no longer exists, and new requests would be sent to it.
    """

    def __init__(self) -> None:
        self.latest: dict[str, int | None] = {}

    def __bool__(self) -> bool:
        return bool(self.latest)

    def add(self, instance: str, start_time_ms: int | None) -> None:
        """Record that an incarnation has ended; its start time may be unknown."""
        known = [
            each for each in (self.latest.pop(instance, None), start_time_ms) if each is not None
        ]
        self.latest[instance] = max(known, default=None)
        if len(self.latest) > MAX_INSTANCES:
            del self.latest[next(iter(self.latest))]

    def includes(self, heartbeat: Registration) -> bool:
        """Return whether a heartbeat is from an incarnation that has ended.

        If the start time of the ended incarnation is unknown, nothing shows that ``heartbeat`` is
        from a later one.
        """
        if heartbeat.instance not in self.latest:
            return False
        ended = self.latest[heartbeat.instance]
        return ended is None or heartbeat.start_time_ms is None or heartbeat.start_time_ms <= ended
