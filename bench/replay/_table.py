"""Text tables of the results of one trace."""

from collections.abc import Iterator, Sequence

from bench.load import Outcome, Tally
from bench.replay._run_result import RunResult

CLASS_COLUMNS = (
    *("policy", "class", "calls", "p50", "p99", "p99.9", "goodput", "missed"),
    *("refused", "refusal p50", "refusal p99", "slow ref.", "unknown", "failed"),
)
RUN_COLUMNS = (
    *("policy", "executions", "wasted", "duplicates", "false not-run", "wrong"),
    *("reads/s", "reads % cap.", "CPU ms/call", "load tool lag ms"),
)

MAX_LINES_SHOWN = 4


def align(rows: Sequence[Sequence[str]]) -> str:
    """Return rows as a table; the first column is left-aligned, the others right-aligned."""
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = (
        "  ".join(
            cell.ljust(width) if not index else cell.rjust(width)
            for index, (cell, width) in enumerate(zip(row, widths, strict=True))
        )
        for row in rows
    )
    return "\n".join(lines)


def class_rows(runs: Sequence[RunResult]) -> Iterator[tuple[str, ...]]:
    """Yield a row for each class and policy, grouped by class."""
    for label in runs[0].labels():
        for run in runs:
            yield class_row(run, label, run.tally(label))


def class_row(run: RunResult, label: str, counts: Tally) -> tuple[str, ...]:
    return (
        run.policy,
        label,
        str(counts.calls),
        *(f"{counts.latency_ms(percent):.0f}" for percent in (50, 99, 99.9)),
        f"{run.goodput(label):.0f}/s",
        str(counts.missed_deadlines),
        str(counts.refusals),
        f"{counts.refusal_ms(50):.1f}",
        f"{counts.refusal_ms(99):.1f}",
        str(counts.slow_refusals),
        str(counts.outcomes[Outcome.UNKNOWN] + counts.outcomes[Outcome.UNREACHABLE]),
        str(counts.outcomes[Outcome.FAILED]),
    )


def run_row(run: RunResult) -> tuple[str, ...]:
    audit = run.audit
    return (
        run.policy,
        str(audit.executions),
        str(audit.wasted),
        str(len(audit.duplicates)),
        str(len(audit.false_not_run)),
        str(len(audit.wrong)),
        f"{run.measuring_per_s():.2f}",
        f"{run.measuring_share() * 100:.2f}",
        f"{run.cpu_ms_per_call():.2f}",
        f"{run.tally().worst_send_lag_ms:.0f}",
    )


def reason_lines(run: RunResult) -> Iterator[str]:
    """Yield the most frequent reasons why attempts did not complete."""
    for reason, count in run.tally().reasons.most_common(MAX_LINES_SHOWN):
        yield f"{run.policy}: {count} x {reason}"


def violation_lines(run: RunResult) -> Iterator[str]:
    """Yield the ids of the first violations, to look them up in the logs."""
    audit = run.audit
    for kind in ("duplicates", "false_not_run", "wrong", "unrun"):
        request_ids = getattr(audit, kind)[:MAX_LINES_SHOWN]
        if request_ids:
            yield f"{run.policy}: {kind}: {', '.join(request_ids)}"


def table(runs: Sequence[RunResult]) -> str:
    """Return the tables of one trace and its reasons; times are in milliseconds."""
    classes = align([CLASS_COLUMNS, *class_rows(runs)])
    lines = (line for run in runs for line in (*reason_lines(run), *violation_lines(run)))
    return "\n\n".join([classes, align([RUN_COLUMNS, *map(run_row, runs)]), "\n".join(lines)])
