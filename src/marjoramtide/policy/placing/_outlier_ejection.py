"""Temporary exclusion of failing nodes from the selection."""

from collections.abc import Iterable

import attrs

from marjoramtide.policy.placing._node_view import NodeView

MIN_RESULTS = 5
EJECT_BELOW_SUCCESS = 0.5
MIN_SUCCESS_GAP = 0.3
BASE_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
PROBES_TO_REINSTATE = 3
REINSTATED_SUCCESS = 0.8


@attrs.define(slots=True, eq=False, repr=False)
class OutlierEjection:
    """Ejects nodes that fail where others don't, never more than the share ``cap`` of a service.

    When a dependency shared by all servers fails, all of them fail, and an uncapped rule would
    empty the service: the last server left would get all the load and fail too. So a node is
    ejected only when its success rate is low and well below that of the others, the share of
    ejected nodes is capped, and at least one node always remains. An ejected node is probed after a
    time that doubles with each ejection, one request at a time, and is reinstated after
    ``PROBES_TO_REINSTATE`` successful responses.
    """

    cap: float

    def record(
        self, view: NodeView, succeeded: bool, views: Iterable[NodeView], now: float
    ) -> None:
        """Record the result of one request."""
        view.result_count += 1
        view.success.add(1.0 if succeeded else 0.0)
        if view.ejected:
            self._record_probe(view, succeeded, now)
        elif not succeeded and self._is_outlier(view, views):
            self._eject(view, now)

    def may_probe(self, view: NodeView, now: float) -> bool:
        """Return whether an ejected node may be sent a request."""
        return view.ejected and now >= view.ejected_until and not view.outstanding

    def _is_outlier(self, view: NodeView, views: Iterable[NodeView]) -> bool:
        if view.result_count < MIN_RESULTS or view.success.value >= EJECT_BELOW_SUCCESS:
            return False
        known = list(views)
        others = [other.success.value for other in known if other is not view and not other.ejected]
        ejected = sum(other.ejected for other in known)
        if not others or ejected + 1 > int(self.cap * len(known) + 1e-9):
            return False
        return sum(others) / len(others) - view.success.value >= MIN_SUCCESS_GAP

    def _eject(self, view: NodeView, now: float) -> None:
        view.ejected = True
        view.probes_passed = 0
        view.ejected_until = now + min(BASE_EJECTION_S * 2**view.ejections, MAX_EJECTION_S)
        view.ejections = min(view.ejections + 1, 10)

    def _record_probe(self, view: NodeView, succeeded: bool, now: float) -> None:
        if not succeeded:
            self._eject(view, now)
            return
        view.probes_passed += 1
        if view.probes_passed >= PROBES_TO_REINSTATE:
            view.ejected = False
            view.result_count = 0
            view.success.value = max(view.success.value, REINSTATED_SUCCESS)
