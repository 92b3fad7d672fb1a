"""A circuit breaker for the calls to the store."""

import random

import structlog

from marjoramtide.clock import Clock
from marjoramtide.errors import ErrorCode, MarjoramtideError

log = structlog.get_logger()

FAILURES_TO_OPEN = 5
FIRST_PAUSE_S = 0.2
LONGEST_PAUSE_S = 5.0


class Circuit:
    """Refuses calls at once while the store does not answer, and lets one through to try.

    Without it each request that needs the store waits out its whole timeout during an outage, and
    the fleet meets the recovering store with every waiting call at the same moment. Pauses double
    up to ``longest_pause`` and are drawn between half and whole, so that nodes do not try
    together.
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self.clock = clock
        self.rng = rng
        self.failures = 0
        self.pause = FIRST_PAUSE_S
        self.longest_pause = LONGEST_PAUSE_S
        self.open_until = 0.0
        self.trying = False

    @property
    def is_open(self) -> bool:
        return self.failures >= FAILURES_TO_OPEN

    def enter(self, step: str, peer: str) -> None:
        """Let the call pass, or raise ``store-unavailable`` without making it."""
        if not self.is_open:
            return
        left = self.open_until - self.clock.monotonic()
        if left > 0 or self.trying:
            raise MarjoramtideError(
                ErrorCode.STORE_UNAVAILABLE,
                f"no answer to the last {self.failures} calls",
                step=step,
                peer=peer,
                retry_after_ms=max(int(left * 1000), int(FIRST_PAUSE_S * 1000)),
            )
        self.trying = True

    def succeeded(self) -> None:
        """Close: the store answered, whatever it said."""
        if self.is_open:
            log.info("store.circuit.closed", failures=self.failures)
        self.failures = 0
        self.pause = FIRST_PAUSE_S
        self.trying = False

    def failed(self) -> None:
        """Count a call without an answer."""
        self.failures += 1
        self.trying = False
        if self.failures == FAILURES_TO_OPEN:
            log.warning("store.circuit.opened", failures=self.failures)
        if self.is_open:
            self.open_until = self.clock.monotonic() + self.pause * self.rng.uniform(0.5, 1)
            self.pause = min(self.pause * 2, self.longest_pause)

    def abandoned(self) -> None:
        """Forget a call that its caller cancelled: it says nothing of the store."""
        self.trying = False
