"""Generates the calls of a trace; the same seed gives the same calls."""

import itertools
import random
from collections.abc import Iterator

from bench.load import PlannedCall
from bench.replay._phase import Phase
from bench.replay._trace import Trace


def arrival_times(phase: Phase, seconds: float, rng: random.Random) -> Iterator[float]:
    """Yield the times of a Poisson process at the rate of ``phase``, in seconds."""
    at = phase.from_s
    while (at := at + rng.expovariate(phase.rate)) < min(phase.until_s, seconds):
        yield at


def arrivals(trace: Trace) -> list[PlannedCall]:
    """Return the calls of a trace, sorted by time."""
    calls = itertools.chain.from_iterable(
        phase_calls(trace, number, phase) for number, phase in enumerate(trace.phases)
    )
    return sorted(calls, key=lambda call: call.at_s)


def phase_calls(trace: Trace, number: int, phase: Phase) -> Iterator[PlannedCall]:
    """Yield the calls of one phase; each phase has its own random number generator."""
    rng = random.Random(f"{trace.seed}/{number}")
    for count, at in enumerate(arrival_times(phase, trace.seconds, rng)):
        name = f"{phase.label}-{number}-{count}"
        yield PlannedCall(
            at_s=at,
            request_id=name,
            service=phase.service,
            label=phase.label,
            timeout_ms=phase.timeout_ms,
            method="POST" if phase.booking else "GET",
            urgent=phase.urgent,
            answer_bytes=phase.answer_bytes,
            body_bytes=phase.body_bytes,
            key=f"key-{name}" if phase.booking and phase.keyed else "",
            service_ms=phase.service_ms,
            retries=phase.retries,
            retry_wait_ms=phase.retry_wait_ms,
        )
