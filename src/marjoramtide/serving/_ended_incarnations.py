"""The starts of backend servers that have ended."""

from marjoramtide.serving._registration import Registration

# Identities that are remembered. A heartbeat that a cut held up arrives at most minutes late; of a
# server that restarts each second, no more than the last minute is remembered.
MAX_INSTANCES = 64


class EndedIncarnations:
    """Remembers, for each of the last identities, the latest start that has ended.

    Failure without it: a heartbeat that was held up arrives after the departure of its sender, and
    new work is sent to a server that is gone.
    """

    def __init__(self) -> None:
        self.latest: dict[str, int | None] = {}

    def __bool__(self) -> bool:
        return bool(self.latest)

    def add(self, instance: str, start_time_ms: int | None) -> None:
        """Remember that a start has ended; ``born`` is ``None`` where it isn't known."""
        known = [
            each for each in (self.latest.pop(instance, None), start_time_ms) if each is not None
        ]
        self.latest[instance] = max(known, default=None)
        if len(self.latest) > MAX_INSTANCES:
            del self.latest[next(iter(self.latest))]

    def includes(self, heard: Registration) -> bool:
        """Tell whether a heartbeat is of a start that has ended.

        Where the ended one has never told when it was born, nothing shows that ``heard`` is of a
        later one.
        """
        if heard.instance not in self.latest:
            return False
        ended = self.latest[heard.instance]
        return ended is None or heard.start_time_ms is None or heard.start_time_ms <= ended
