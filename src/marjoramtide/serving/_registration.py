"""What a backend server tells of itself when it registers."""

import attrs


@attrs.frozen(slots=True)
class Registration:
    """One heartbeat of a backend server.

    ``instance`` is the identity of one start of it. ``sequence`` grows with each heartbeat of that
    start, so that a late one is known. ``cold_left_s`` is for how much longer it is slow after its
    start, in seconds.
    """

    instance: str
    address: str
    service: str
    data_centre: str
    software: str
    slots: int
    draining: bool
    sequence: int
    cold_left_s: float
