"""What a backend server says of itself beside its load."""

import attrs


@attrs.frozen(slots=True)
class ServerStatement:
    """What one start of a backend server says that it takes.

    ``instance`` is the identity of that start, empty where it has none. ``rate_per_s`` is how many
    requests a second it takes from all callers together, ``None`` where it names no limit.
    ``leaving`` tells that it takes nothing new at all.
    """

    instance: str = ""
    rate_per_s: float | None = None
    leaving: bool = False

    @property
    def is_empty(self) -> bool:
        """Tell whether it asks for nothing."""
        return self.rate_per_s is None and not self.leaving
