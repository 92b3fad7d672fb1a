"""Reports of suspects that are sent some time after they were made."""

from collections.abc import Iterable, Iterator

import attrs

from marjoramtide.policy import ServerCrash, SuspectReport


@attrs.frozen(slots=True)
class PendingReport:
    """A report; ``created_at`` is in seconds of the monotonic clock."""

    report: SuspectReport
    created_at: float

    def with_current_ages(self, now: float) -> SuspectReport:
        """Return the report with the ages that its crashes have now."""
        elapsed_s = now - self.created_at
        crashes = self.report.crashes
        aged = (
            ServerCrash(crash.number, crash.age_s + elapsed_s, crash.ran_s) for crash in crashes
        )
        return attrs.evolve(self.report, crashes=tuple(aged))


@attrs.define(slots=True, eq=False, repr=False)
class ReportBatch:
    """Reports that wait to be sent together.

    The ages of crashes must be updated: otherwise crashes half a second apart would count as one.
    """

    pending: list[PendingReport] = attrs.Factory(list)

    def add(self, reports: Iterable[SuspectReport], now: float) -> None:
        """Add reports made just now."""
        self.pending += [PendingReport(report, now) for report in reports]

    def aged_reports(self, now: float) -> Iterator[SuspectReport]:
        """Yield the reports with the current ages of their crashes."""
        return (pending_report.with_current_ages(now) for pending_report in self.pending)
