"""What nodes tell each other of a request that was running when servers ended."""

import attrs


@attrs.frozen(slots=True)
class ServerCrash:
    """One end of a backend server, by a number of 64 bits that the node beside it has drawn.

    ``age_s`` is how long ago that was, ``ran_s`` for how long the request had been running there
    before, both in seconds.
    """

    number: int
    age_s: float = 0.0
    ran_s: float = 0.0


@attrs.frozen(slots=True)
class SuspectReport:
    """The ends of servers that a request is suspected of, and those of which it is cleared.

    Both only grow, so that nodes come to hold the same whatever they hear first, twice or late, and
    without a clock in common: a request that a server has completed is cleared of the ends that
    were known by then, and of no later one. For ``trial_s`` seconds more a server tries whether it
    still ends by the request.
    """

    fingerprint: int
    crashes: tuple[ServerCrash, ...] = ()
    cleared: tuple[int, ...] = ()
    trial_s: float = 0.0
