"""What was measured in one run, and the names by which outcomes ask for it."""

from collections.abc import Callable, Sequence

import attrs

from bench.load import Audit, CallResult, Outcome, StandInReport, Tally, tally
from bench.replay._site import Service
from bench.replay._trace import Trace

WHOLE = (0.0, 1.0)
LATE_LOAD_TOOL_MS = 100.0


@attrs.frozen(slots=True)
class Figures:
    """The results of one trace under one policy.

    ``measured_s`` is how long the stand-ins counted: from before the first call to after the last.
    """

    trace: Trace
    policy: str
    results: Sequence[CallResult]
    audit: Audit
    reports: Sequence[StandInReport]
    services: dict[str, Service]
    node_cpu_s: float
    measured_s: float
    tallies: dict[tuple[float, float], dict[str, Tally]] = attrs.field(factory=dict, init=False)

    def tally(self, label: str = "", window: tuple[float, float] = WHOLE) -> Tally:
        """Return the counts of one class, or of all; ``window`` is in shares of the trace."""
        if window not in self.tallies:
            begin, end = (share * self.trace.seconds for share in window)
            chosen = (result for result in self.results if begin <= result.call.at_s < end)
            self.tallies[window] = tally(chosen)
        return self.tallies[window].get(label, Tally())

    def labels(self) -> list[str]:
        """Return the classes of calls in the order of the trace's phases."""
        return list(dict.fromkeys(phase.label for phase in self.trace.phases))

    def goodput(self, label: str = "", window: tuple[float, float] = WHOLE) -> float:
        """Return calls completed within their deadline, a second of the window."""
        seconds = (window[1] - window[0]) * self.trace.seconds
        return self.tally(label, window).completed_in_time / seconds

    def measuring_per_s(self) -> float:
        """Return reads of health and load endpoints a second, at the server with the most."""
        return max(map(reads_at_rate, self.reports)) / self.measured_s

    def measuring_share(self) -> float:
        """Return the largest share of a server's capacity that reads of its endpoints took.

        A read is counted as a whole request, which overstates it.
        """
        return max(
            reads_at_rate(report) / self.measured_s / capacity_per_s(self.services[report.address])
            for report in self.reports
        )

    def run_after_drain_s(self) -> float:
        """Return how long after the begin of a drain the last request began at that server."""
        return max(report.stats["last_run_after_drain_s"] for report in self.reports)

    def cpu_ms_per_call(self) -> float:
        """Return processor time of all nodes for each call, in milliseconds."""
        return self.node_cpu_s * 1000 / max(1, len(self.results))

    def load_tool_late(self) -> bool:
        """Tell whether the load tool itself kept pace too badly for the figures to count."""
        return self.tally().worst_send_lag_ms > LATE_LOAD_TOOL_MS


def reads_at_rate(report: StandInReport) -> int:
    """Return the reads of a server's health and load endpoints, less the first one.

    A stretch of ``n`` seconds holds ``n + 1`` reads where they come once a second.
    """
    return max(0, report.stats["health_reads"] + report.stats["load_reads"] - 1)


def capacity_per_s(service: Service) -> float:
    """Return the requests a second that one backend server of ``service`` can run."""
    return service.slots * 1000 / service.service_ms


Metric = Callable[[Figures, str, tuple[float, float]], float]

METRICS: dict[str, Metric] = {
    "p50_ms": lambda figures, label, window: tail_ms(figures.tally(label, window), 50),
    "p99_ms": lambda figures, label, window: tail_ms(figures.tally(label, window), 99),
    "p99.9_ms": lambda figures, label, window: tail_ms(figures.tally(label, window), 99.9),
    "goodput": lambda figures, label, window: figures.goodput(label, window),
    "completed_share": lambda figures, label, window: share_of(
        figures.tally(label, window), Outcome.COMPLETED
    ),
    "unknown_share": lambda figures, label, window: share_of(
        figures.tally(label, window), Outcome.UNKNOWN
    ),
    "failed_share": lambda figures, label, window: share_of(
        figures.tally(label, window), Outcome.FAILED
    ),
    "missed_deadline_share": lambda figures, label, window: missed_share(
        figures.tally(label, window)
    ),
    "slow_refusal_share": lambda figures, label, window: slow_refusal_share(
        figures.tally(label, window)
    ),
    "wasted_share": lambda figures, label, window: (
        figures.audit.wasted / max(1, figures.audit.executions)
    ),
    "duplicates": lambda figures, label, window: len(figures.audit.duplicates),
    "false_not_run": lambda figures, label, window: len(figures.audit.false_not_run),
    "wrong": lambda figures, label, window: len(figures.audit.wrong),
    "unrun": lambda figures, label, window: len(figures.audit.unrun),
    "measuring_share": lambda figures, label, window: figures.measuring_share(),
    "measuring_per_s": lambda figures, label, window: figures.measuring_per_s(),
    "run_after_drain_s": lambda figures, label, window: figures.run_after_drain_s(),
    "cpu_ms_per_call": lambda figures, label, window: figures.cpu_ms_per_call(),
}


def tail_ms(counts: Tally, percent: float) -> float:
    """Return a percentile of latency; without a completed call it is endless, not 0."""
    return counts.latency_ms(percent) if counts.latency.total_count else float("inf")


def share_of(counts: Tally, outcome: Outcome) -> float:
    return counts.outcomes[outcome] / max(1, counts.calls)


def missed_share(counts: Tally) -> float:
    return counts.missed_deadlines / max(1, counts.calls)


def slow_refusal_share(counts: Tally) -> float:
    return counts.slow_refusals / max(1, counts.refusals)
