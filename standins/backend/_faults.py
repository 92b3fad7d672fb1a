"""Faults that can be injected into a backend server stand-in."""

import attrs
import cattrs


@attrs.define(slots=True)
class Faults:
    """Faults in force; the defaults describe a healthy server.

    Shares are fractions of requests, factors multiply the service time, ``_ms`` and ``_s`` are
    milliseconds and seconds.
    """

    slow_factor: float = 1.0
    freeze: bool = False  # accepts requests and sends no response until cleared, health included
    fail_fast: float = 0.0  # share that gets 500 at once, without taking a slot
    shed: float = 0.0  # share that gets 503 "not run" at once
    rate_limit: str = ""  # text of the rate limit in its responses, in requests a second
    leaving: bool = False  # states in each response that it is leaving, and keeps serving
    drain: bool = False
    drain_grace_ms: float = 1000.0  # a draining server refuses new requests after this time
    mislead: bool = False  # the load endpoint reports an idle server
    load_lag_ms: float = 0.0  # age of the load that the load endpoint reports
    cold_start_s: float = 0.0  # warm-up time, from the moment the fault is set
    cold_factor: float = 10.0
    truncate: float = 0.0  # share whose connection closes in the middle of the body
    close_before_answer: float = (
        0.0  # share that runs and whose connection then closes without a response
    )
    late: float = 0.0  # share whose response is delayed after the slot is free
    late_ms: float = 0.0
    deadly: str = ""  # path of requests that crash the stand-in while they run
    deadly_ms: float = 60.0  # how long they run before the crash
    deadly_lingers_ms: float = 0.0  # time between breaking all connections and the exit
    deadly_freezes: bool = False  # they freeze the stand-in instead of crashing it
    noise_factor: float = 1.0  # slowdown by neighbours in a share of all time steps
    noise_share: float = 0.3
    noise_step_ms: float = 25.0
    # Faults of a broken load balancer; they prove that the load tool detects them.
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
