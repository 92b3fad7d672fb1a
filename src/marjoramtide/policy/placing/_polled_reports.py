"""Classic polling of load reports."""

from collections.abc import Collection

import attrs

from marjoramtide.exchange import LoadReport
from marjoramtide.policy._call_profile import CallProfile
from marjoramtide.policy.placing._counting_selector import CountingSelector


@attrs.define(slots=True, eq=False, repr=False)
class PolledReports(CountingSelector):
    """Asks the member whose last polled report shows the least load, whatever happened since.

    The view is renewed every ``period_ms`` from the reports that arrived in between; a member from
    which none arrived counts as idle, as a poll of an unused server would show.
    """

    period_ms: float = 100.0
    view: dict[str, float] = attrs.Factory(dict)
    arriving: dict[str, float] = attrs.Factory(dict)
    polled_at: float = float("-inf")

    def choose(
        self, profile: CallProfile, now: float, excluded: Collection[str] = ()
    ) -> str | None:
        self._poll(now)
        candidates = self.candidates(excluded)
        if not candidates:
            return None
        least = min(self.view.get(node, 0.0) for node in candidates)
        return self.rng.choice([node for node in candidates if self.view.get(node, 0.0) == least])

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
        self.settled(node)
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
        self.settled(node)
        self._receive(node, report)

    def _receive(self, node: str, report: LoadReport | None) -> None:
        if report is not None:
            self.arriving[node] = report.load

    def _poll(self, now: float) -> None:
        if (now - self.polled_at) * 1000 >= self.period_ms:
            self.view, self.arriving, self.polled_at = self.arriving, {}, now
