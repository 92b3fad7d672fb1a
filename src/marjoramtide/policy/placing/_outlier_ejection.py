"""Takes failing nodes out of the choice for a while."""

from collections.abc import Iterable

import attrs

from marjoramtide.policy.placing._node_view import NodeView

ENOUGH_RESULTS = 5
FAILING_BELOW = 0.5
OUTLIER_BY = 0.3
EJECTED_S = 1.0
EJECTED_AT_MOST_S = 30.0
PROBES = 3
REINSTATED_SUCCESS = 0.8


@attrs.define(slots=True, eq=False, repr=False)
class OutlierEjection:
    """Ejects nodes that fail where others don't, never more than ``cap`` of a service.

    Failure: a dependency that all servers share goes down, all of them fail, and an uncapped rule
    empties the service: the last server left gets everything and falls over too. So a node is
    ejected only when its success rate is low and well below that of the others, the share of
    ejected nodes is capped, and one is always left. An ejected node is probed after a time that
    doubles with each ejection, one request at a time, and comes back after ``PROBES`` good answers.
    """

    cap: float

    def record(
        self, view: NodeView, succeeded: bool, views: Iterable[NodeView], now: float
    ) -> None:
        """Take in the result of one request."""
        view.results += 1
        view.success.add(1.0 if succeeded else 0.0)
        if view.ejected:
            self._probed(view, succeeded, now)
        elif not succeeded and self._is_outlier(view, views):
            self._eject(view, now)

    def may_probe(self, view: NodeView, now: float) -> bool:
        """Tell whether a request may be spent on an ejected node."""
        return view.ejected and now >= view.ejected_until and not view.outstanding

    def _is_outlier(self, view: NodeView, views: Iterable[NodeView]) -> bool:
        if view.results < ENOUGH_RESULTS or view.success.value >= FAILING_BELOW:
            return False
        known = list(views)
        others = [other.success.value for other in known if other is not view and not other.ejected]
        ejected = sum(other.ejected for other in known)
        if not others or ejected + 1 > int(self.cap * len(known) + 1e-9):
            return False
        return sum(others) / len(others) - view.success.value >= OUTLIER_BY

    def _eject(self, view: NodeView, now: float) -> None:
        view.ejected = True
        view.probes_passed = 0
        view.ejected_until = now + min(EJECTED_S * 2**view.ejections, EJECTED_AT_MOST_S)
        view.ejections = min(view.ejections + 1, 10)

    def _probed(self, view: NodeView, succeeded: bool, now: float) -> None:
        if not succeeded:
            self._eject(view, now)
            return
        view.probes_passed += 1
        if view.probes_passed >= PROBES:
            view.ejected = False
            view.results = 0
            view.success.value = max(view.success.value, REINSTATED_SUCCESS)
