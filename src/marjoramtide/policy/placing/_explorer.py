"""Exploration of nodes that would otherwise get no requests."""

from collections.abc import Iterable

import attrs

from marjoramtide.policy.placing._node_view import NodeView
from marjoramtide.policy.placing._outlier_ejection import OutlierEjection

TOKENS_PER_REQUEST = 0.005
TOKENS_PER_S = 0.2
MAX_TOKENS = 1.0
EXPLORE_AFTER_HALF_LIVES = 5.0


@attrs.define(slots=True, eq=False, repr=False)
class Explorer:
    """Picks, now and then, a node to try although it doesn't look best.

    A straggler that has recovered would stay unused until a restart: its last report says that it
    is slow, so it gets no requests and sends no newer report. At most the share
    ``TOKENS_PER_REQUEST`` of the requests (or ``TOKENS_PER_S`` a second at low rates) explore, and
    a node that stays slow is tried ever more rarely, so that tail latency isn't affected. Urgent
    requests and those that may run only once are never used.
    """

    ejection: OutlierEjection
    tokens: float = 0.0
    updated_at: float | None = None

    def pick(self, views: Iterable[NodeView], now: float) -> NodeView | None:
        """Return a node to explore with an idempotent request, in most cases ``None``."""
        elapsed_s = now - self.updated_at if self.updated_at is not None else 0.0
        self.updated_at = now
        self.tokens = min(MAX_TOKENS, self.tokens + TOKENS_PER_REQUEST + TOKENS_PER_S * elapsed_s)
        if self.tokens < 1:
            return None
        due = [view for view in views if self._is_due(view, now)]
        if not due:
            return None
        self.tokens -= 1
        return min(due, key=lambda view: view.last_outcome_at)

    def _is_due(self, view: NodeView, now: float) -> bool:
        if view.ejected:
            return self.ejection.may_probe(view, now)
        idle_s = now - view.last_outcome_at
        return (
            not view.outstanding
            and view.last_outcome_at > 0
            and idle_s > EXPLORE_AFTER_HALF_LIVES * view.half_life_s
        )
