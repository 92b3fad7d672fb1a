"""A circuit breaker for the calls to the store."""

import random

import structlog

from marjoramtide.clock import Clock
from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.store._call import Call

log = structlog.get_logger()

FAILURES_TO_OPEN = 5
MIN_PAUSE_S = 0.2
MAX_PAUSE_S = 5.0


class CircuitBreaker:
    """Fails calls immediately while the store does not respond, and lets single probes through.

    Without it, each request that needs the store waits for its whole timeout during an outage, and
    the recovering store gets every waiting call of the fleet at the same moment. The pauses between
    probes double up to ``max_pause_s`` and are jittered between half and the full pause, so that
    nodes do not probe together.

    Calls that are probes themselves (``Call.is_probe``) pass at any time, and only their success
    counts.
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self.clock = clock
        self.rng = rng
        self.failures = 0
        self.pause_s = MIN_PAUSE_S
        self.max_pause_s = MAX_PAUSE_S
        self.open_until = 0.0
        self.is_probing = False

    @property
    def is_open(self) -> bool:
        return self.failures >= FAILURES_TO_OPEN

    def check(self, call: Call, peer: str) -> None:
        """Raise ``store-unavailable`` if the call must not be sent now."""
        if not self.is_open or call.is_probe:
            return
        remaining_s = self.open_until - self.clock.monotonic()
        if remaining_s > 0 or self.is_probing:
            raise MarjoramtideError(
                ErrorCode.STORE_UNAVAILABLE,
                f"circuit breaker is open: no response to the last {self.failures} calls",
                step=call.step,
                peer=peer,
                retry_after_ms=max(int(remaining_s * 1000), int(MIN_PAUSE_S * 1000)),
            )
        self.is_probing = True

    def on_success(self) -> None:
        """Close the circuit breaker: the store responded, with whatever status."""
        if self.is_open:
            log.info("store.circuit.closed", failures=self.failures)
        self.failures = 0
        self.pause_s = MIN_PAUSE_S
        self.is_probing = False

    def on_failure(self, call: Call) -> None:
        """Record a call that got no response."""
        if call.is_probe:
            return
        self.failures += 1
        self.is_probing = False
        if self.failures == FAILURES_TO_OPEN:
            log.warning("store.circuit.opened", failures=self.failures)
        if self.is_open:
            self.open_until = self.clock.monotonic() + self.pause_s * self.rng.uniform(0.5, 1)
            self.pause_s = min(self.pause_s * 2, self.max_pause_s)

    def on_abandoned(self, call: Call) -> None:
        """Ignore a call that was cancelled, which says nothing about the store."""
        if not call.is_probe:
            self.is_probing = False
