"""Outcome counts and latency histograms by class of calls."""

from collections import Counter
from collections.abc import Iterable

import attrs
from hdrh.histogram import HdrHistogram

from bench.load._outcome import Outcome
from bench.load._result import CallResult

MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3


def histogram() -> HdrHistogram:
    """Return a histogram of microseconds, up to two minutes with three significant digits."""
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


def percentile_ms(values: HdrHistogram, percent: float) -> float:
    """Return a percentile in milliseconds; 0 if nothing was recorded."""
    return values.get_value_at_percentile(percent) / 1000 if values.total_count else 0.0


@attrs.define(slots=True)
class Tally:
    """Counts and latencies of one class of calls.

    ``latency`` holds the latencies of completed calls from their planned times, ``refusal`` those
    of attempts with the outcome "not run", both in microseconds. ``slow_refusals`` counts refusals
    that took more than 5% of the deadline.
    """

    calls: int = 0
    attempts: int = 0
    outcomes: Counter[Outcome] = attrs.field(factory=Counter)
    reasons: Counter[str] = attrs.field(factory=Counter)
    missed_deadlines: int = 0
    completed_in_time: int = 0
    refusals: int = 0
    slow_refusals: int = 0
    worst_send_lag_ms: float = 0.0
    latency: HdrHistogram = attrs.field(factory=histogram)
    refusal: HdrHistogram = attrs.field(factory=histogram)

    def add(self, result: CallResult) -> None:
        """Add the result of one call."""
        self.calls += 1
        self.attempts += len(result.attempts)
        self.outcomes[result.outcome] += 1
        self.missed_deadlines += result.missed_deadline
        self.worst_send_lag_ms = max(self.worst_send_lag_ms, result.send_lag_ms)
        if result.outcome is Outcome.COMPLETED:
            self.completed_in_time += not result.missed_deadline
            self.latency.record_value(max(1, round(result.latency_ms * 1000)))
        for attempt in result.attempts:
            if attempt.outcome is not Outcome.COMPLETED:
                self.reasons[f"{attempt.outcome} {attempt.reason}".strip()] += 1
            if attempt.outcome is Outcome.NOT_RUN:
                self.refusals += 1
                self.slow_refusals += attempt.elapsed_ms > 0.05 * result.call.timeout_ms
                self.refusal.record_value(max(1, round(attempt.elapsed_ms * 1000)))

    def latency_ms(self, percent: float) -> float:
        """Return a percentile of the completed calls' latency, in milliseconds."""
        return percentile_ms(self.latency, percent)

    def refusal_ms(self, percent: float) -> float:
        """Return a percentile of the time to refusal, in milliseconds."""
        return percentile_ms(self.refusal, percent)


def tally(results: Iterable[CallResult]) -> dict[str, Tally]:
    """Return tallies by class label; that of all calls has an empty label."""
    tallies: dict[str, Tally] = {"": Tally()}
    for result in results:
        tallies[""].add(result)
        tallies.setdefault(result.call.label, Tally()).add(result)
    return tallies
