"""Measurements of a run and the metrics that outcomes refer to by name."""

from collections.abc import Callable, Sequence

import attrs

from bench.load import Audit, CallResult, Outcome, StandInReport, Tally, tally
from bench.replay._site import Service
from bench.replay._trace import Trace

WHOLE_TRACE = (0.0, 1.0)
MAX_SEND_LAG_MS = 100.0


@attrs.frozen(slots=True)
class RunResult:
    """The results of one trace under one policy.

    ``measured_s`` is the period that the stand-ins' counters cover, from before the first call to
    after the last.
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

    def tally(self, label: str = "", window: tuple[float, float] = WHOLE_TRACE) -> Tally:
        """Return the counts of one class, or of all; ``window`` is in fractions of the trace."""
        if window not in self.tallies:
            begin, end = (share * self.trace.seconds for share in window)
            chosen = (result for result in self.results if begin <= result.call.at_s < end)
            self.tallies[window] = tally(chosen)
        return self.tallies[window].get(label, Tally())

    def labels(self) -> list[str]:
        """Return the labels of the call classes, in the order of the trace's phases."""
        return list(dict.fromkeys(phase.label for phase in self.trace.phases))

    def goodput(self, label: str = "", window: tuple[float, float] = WHOLE_TRACE) -> float:
        """Return the calls a second that completed within their deadlines."""
        seconds = (window[1] - window[0]) * self.trace.seconds
        return self.tally(label, window).completed_in_time / seconds

    def measuring_per_s(self) -> float:
        """Return the reads a second of health and load endpoints, of the server with the most."""
        return max(map(reads_after_first, self.reports)) / self.measured_s

    def measuring_share(self) -> float:
        """Return the largest share of a server's capacity that health and load reads took.

        A read counts as a full request, which overestimates it.
        """
        return max(
            reads_after_first(report)
            / self.measured_s
            / capacity_per_s(self.services[report.address])
            for report in self.reports
        )

    def run_after_drain_s(self) -> float:
        """Return the longest time from the start of a drain to the server's last execution."""
        return max(report.stats["last_run_after_drain_s"] for report in self.reports)

    def cpu_ms_per_call(self) -> float:
        """Return the processor time of all nodes per call, in milliseconds."""
        return self.node_cpu_s * 1000 / max(1, len(self.results))

    def is_load_tool_late(self) -> bool:
        """Tell whether the load tool sent too late for the latencies to be valid."""
        return self.tally().worst_send_lag_ms > MAX_SEND_LAG_MS


def reads_after_first(report: StandInReport) -> int:
    """Return the reads of a server's health and load endpoints, except the first one.

    At one read a second, a period of ``n`` seconds contains ``n + 1`` reads.
    """
    return max(0, report.stats["health_reads"] + report.stats["load_reads"] - 1)


def capacity_per_s(service: Service) -> float:
    """Return the capacity of one backend server of ``service``, in requests a second."""
    return service.slots * 1000 / service.service_ms


Metric = Callable[[RunResult, str, tuple[float, float]], float]

METRICS: dict[str, Metric] = {
    "p50_ms": lambda result, label, window: percentile_or_inf_ms(result.tally(label, window), 50),
    "p99_ms": lambda result, label, window: percentile_or_inf_ms(result.tally(label, window), 99),
    "p99.9_ms": lambda result, label, window: percentile_or_inf_ms(
        result.tally(label, window), 99.9
    ),
    "goodput": lambda result, label, window: result.goodput(label, window),
    "completed_share": lambda result, label, window: share_of(
        result.tally(label, window), Outcome.COMPLETED
    ),
    "unknown_share": lambda result, label, window: share_of(
        result.tally(label, window), Outcome.UNKNOWN
    ),
    "failed_share": lambda result, label, window: share_of(
        result.tally(label, window), Outcome.FAILED
    ),
    "missed_deadline_share": lambda result, label, window: missed_share(
        result.tally(label, window)
    ),
    "slow_refusal_share": lambda result, label, window: slow_refusal_share(
        result.tally(label, window)
    ),
    "wasted_share": lambda result, label, window: (
        result.audit.wasted / max(1, result.audit.executions)
    ),
    "duplicates": lambda result, label, window: len(result.audit.duplicates),
    "false_not_run": lambda result, label, window: len(result.audit.false_not_run),
    "wrong": lambda result, label, window: len(result.audit.wrong),
    "unrun": lambda result, label, window: len(result.audit.unrun),
    "measuring_share": lambda result, label, window: result.measuring_share(),
    "measuring_per_s": lambda result, label, window: result.measuring_per_s(),
    "run_after_drain_s": lambda result, label, window: result.run_after_drain_s(),
    "cpu_ms_per_call": lambda result, label, window: result.cpu_ms_per_call(),
}


def percentile_or_inf_ms(counts: Tally, percent: float) -> float:
    """Return a latency percentile; infinity, not 0, if no call completed."""
    return counts.latency_ms(percent) if counts.latency.total_count else float("inf")


def share_of(counts: Tally, outcome: Outcome) -> float:
    return counts.outcomes[outcome] / max(1, counts.calls)


def missed_share(counts: Tally) -> float:
    return counts.missed_deadlines / max(1, counts.calls)


def slow_refusal_share(counts: Tally) -> float:
    return counts.slow_refusals / max(1, counts.refusals)
