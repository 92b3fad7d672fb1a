"""The faults a backend server stand-in can be told to show."""

import attrs
import cattrs


@attrs.define(slots=True)
class Faults:
    """What is wrong with the stand-in just now; the defaults are a healthy server.

    Shares are fractions of requests, factors multiply the service time, ``_ms`` and ``_s`` are
    milliseconds and seconds.
    """

    slow_factor: float = 1.0
    freeze: bool = False  # accepts and never answers until lifted, its health endpoint included
    fail_fast: float = 0.0  # share answered 500 at once, without taking a slot
    shed: float = 0.0  # share answered 503 "not run" at once
    rate_limit: str = ""  # the requests a second that it says it takes, as it says so
    leaving: bool = False  # says in each answer that it leaves, and serves on
    drain: bool = False
    drain_grace_ms: float = 1000.0  # after it, a draining server refuses new requests
    mislead: bool = False  # the load endpoint says idle
    load_lag_ms: float = 0.0  # age of what the load endpoint says
    cold_start_s: float = 0.0  # slow for so long after the fault is set
    cold_factor: float = 10.0
    truncate: float = 0.0  # share closed in the middle of the body
    close_before_answer: float = 0.0  # share run, then closed without an answer
    late: float = 0.0  # share answered late, after the slot is free
    late_ms: float = 0.0
    deadly: str = ""  # the path of requests that end the stand-in while it runs them
    deadly_ms: float = 60.0  # how long it runs them until then
    deadly_lingers_ms: float = 0.0  # then all connections break; it takes new ones for so long
    deadly_freezes: bool = False  # they don't end it, but freeze it
    noise_factor: float = 1.0  # neighbours slow the server by this factor in a share of all steps
    noise_share: float = 0.3
    noise_step_ms: float = 25.0
    # Lies that only a balancer at fault could tell; they prove that the load tool finds them.
    wrong_body: float = 0.0
    run_twice: float = 0.0
    false_not_run: float = 0.0

    def updated(self, changes: dict[str, object]) -> "Faults":
        """Return these faults with ``changes``; raises ``ValueError`` for unknown names."""
        names = {field.name for field in attrs.fields(Faults)}
        unknown = sorted(set(changes) - names)
        if unknown:
            raise ValueError(f"unknown faults {unknown}; allowed are {sorted(names)}")
        try:
            return cattrs.structure({**attrs.asdict(self), **changes}, Faults)
        except cattrs.BaseValidationError as error:
            raise ValueError("; ".join(cattrs.transform_error(error))) from error
