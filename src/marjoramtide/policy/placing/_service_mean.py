"""Averages over the nodes of a service."""

import statistics
from collections.abc import Collection

import attrs

from marjoramtide.policy.placing._node_view import NodeView

MAX_MEAN_LOAD = 0.7


@attrs.define(slots=True, eq=False, repr=False)
class ServiceMean:
    """The load and service time of an average node, with each node weighted equally.

    Weighting each response instead would count the busy nodes most, and a node that hasn't reported
    for a while would be assumed to be as full as those. The load is capped at ``MAX_MEAN_LOAD``: a
    queue that isn't reported on is more likely to drain than to grow. The averages are recomputed
    once for half as many reports as there are nodes, so that the cost per report doesn't grow with
    the service.
    """

    load: float = 0.0
    service_ms: float = 0.0
    report_count: int = 0

    def note_report(self, views: Collection[NodeView]) -> None:
        """Note that one of ``views`` has received a report."""
        if self.report_count % max(1, len(views) // 2) == 0:
            self._recompute(views)
        self.report_count += 1

    def _recompute(self, views: Collection[NodeView]) -> None:
        reports = [view.report for view in views if view.report is not None]
        self.load = min(MAX_MEAN_LOAD, statistics.fmean(report.load for report in reports))
        times = [report.service_time_ms for report in reports if report.service_time_ms]
        self.service_ms = statistics.median(times) if times else 0.0
