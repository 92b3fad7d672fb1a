"""What nodes report to each other about a request that was running when servers crashed."""

import attrs


@attrs.frozen(slots=True)
class ServerCrash:
    """One crash of a backend server, identified by a random 64-bit number from the node beside it.

    ``age_s`` is how long ago it was, ``ran_s`` for how long the request had been running there
    before, both in seconds.
    """

    number: int
    age_s: float = 0.0
    ran_s: float = 0.0


@attrs.frozen(slots=True)
class SuspectReport:
    """The crashes that a request is suspected of, and the numbers of those it is cleared of.

    Both are grow-only sets, so all nodes converge to the same state whatever the order, duplicates
    and delays of reports, and without a common clock: a request that a server has completed is
    cleared of the crashes that were known by then, and of no later one. ``trial_s`` is for how many
    more seconds a server tests whether the request still crashes it.
    """

    fingerprint: int
    crashes: tuple[ServerCrash, ...] = ()
    cleared: tuple[int, ...] = ()
    trial_s: float = 0.0
