"""What is usual among the nodes of a service."""

import statistics
from collections.abc import Collection

import attrs

from marjoramtide.policy.placing._node_view import NodeView

LOAD_AT_MOST = 0.7


@attrs.define(slots=True, eq=False, repr=False)
class ServiceMean:
    """The load and service time of an average node, each node counted once.

    Counting each answer instead would weigh the busy nodes most, and a node of which nothing was
    heard for a while would be taken for as full as those. The load is at most ``LOAD_AT_MOST``: a
    queue from which nothing is heard is drained rather than grown. Renewed
    once for half as many reports as there are nodes, so that the cost of a report doesn't grow with
    the service.
    """

    load: float = 0.0
    service_ms: float = 0.0
    reports: int = 0

    def note(self, views: Collection[NodeView]) -> None:
        """Note that a report came in to one of ``views``."""
        if self.reports % max(1, len(views) // 2) == 0:
            self._renew(views)
        self.reports += 1

    def _renew(self, views: Collection[NodeView]) -> None:
        reports = [view.report for view in views if view.report is not None]
        self.load = min(LOAD_AT_MOST, statistics.fmean(report.load for report in reports))
        times = [report.service_time_ms for report in reports if report.service_time_ms]
        self.service_ms = statistics.median(times) if times else 0.0
