"""A backend server's own statement about the load that it accepts."""

import attrs


@attrs.frozen(slots=True)
class ServerStatement:
    """The load that a backend server accepts between one start and the next, by its own statement.

    ``instance`` is the id of that start, empty if it has none. ``rate_per_s`` is the number of
    requests per second it accepts from all callers together, ``None`` if it states no limit.
    ``leaving`` is true if it accepts no new requests.
    """

    instance: str = ""
    rate_per_s: float | None = None
    leaving: bool = False

    @property
    def is_empty(self) -> bool:
        """Return whether the statement restricts nothing."""
        return self.rate_per_s is None and not self.leaving
