"""Selection by periodically polled load reports."""

from collections.abc import Collection

import attrs

from marjoramtide.exchange import LoadReport
from marjoramtide.policy._call_profile import CallProfile
from marjoramtide.policy.placing._counting_selector import CountingSelector


@attrs.define(slots=True, eq=False, repr=False)
class PolledReports(CountingSelector):
    """Chooses the member with the least load in its last polled report, whatever happened since.

    ``polled_loads`` is replaced every ``period_ms`` by the reports that arrived in between. A
    member without a new report counts as idle, as a poll of an unused server would show.
    """

    period_ms: float = 100.0
    polled_loads: dict[str, float] = attrs.Factory(dict)
    new_loads: dict[str, float] = attrs.Factory(dict)
    polled_at: float = float("-inf")

    def choose(
        self, profile: CallProfile, now: float, excluded: Collection[str] = ()
    ) -> str | None:
        self._poll(now)
        candidates = self.candidates(excluded)
        if not candidates:
            return None
        lowest = min(self.polled_loads.get(node, 0.0) for node in candidates)
        return self.rng.choice(
            [node for node in candidates if self.polled_loads.get(node, 0.0) == lowest]
        )

    def answered(
        self,
        node: str,
        report: LoadReport | None,
        elapsed_ms: float,
        succeeded: bool,
        now: float,
        *,
        served_ms: float | None = None,
        kind: str = "",
        work_ms: float = 0.0,
    ) -> None:
        self.note_finished(node)
        self._receive(node, report)

    def rejected(
        self,
        node: str,
        report: LoadReport | None,
        retry_after_ms: int,
        now: float,
        *,
        elapsed_ms: float | None = None,
    ) -> None:
        self.note_finished(node)
        self._receive(node, report)

    def _receive(self, node: str, report: LoadReport | None) -> None:
        if report is not None:
            self.new_loads[node] = report.load

    def _poll(self, now: float) -> None:
        if (now - self.polled_at) * 1000 >= self.period_ms:
            self.polled_loads, self.new_loads, self.polled_at = self.new_loads, {}, now
