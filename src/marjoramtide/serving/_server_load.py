"""Load reported by a backend server."""

import attrs


@attrs.frozen(slots=True)
class ServerLoad:
    """The load at one point in time.

    ``slowdown`` is the factor by which work currently takes longer than usual because of noisy
    neighbours on the instance; 1 if it isn't reported.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0
