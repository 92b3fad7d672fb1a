"""Spends a few requests on nodes that would otherwise never be asked again."""

from collections.abc import Iterable

import attrs

from marjoramtide.policy.placing._node_view import NodeView
from marjoramtide.policy.placing._outlier_ejection import OutlierEjection

SHARE = 0.005
PER_S = 0.2
MAX_TOKENS = 1.0
EXPLORE_AFTER_BELIEFS = 5.0


@attrs.define(slots=True, eq=False, repr=False)
class Explorer:
    """Finds, now and then, a node to try although it doesn't look best.

    Failure: a straggler recovers, but its last report says slow; nobody asks it, so nobody learns,
    and its capacity is gone until a restart. At most ``SHARE`` of the requests (or ``PER_S`` a
    second at low rates) explore, and a node that stays slow is tried ever more rarely, so the tail
    doesn't pay for it. Requests that may run only once are never used, urgent ones neither.
    """

    ejection: OutlierEjection
    tokens: float = 0.0
    updated_at: float | None = None

    def pick(self, views: Iterable[NodeView], now: float) -> NodeView | None:
        """Return a node to explore with a request that may be tried again, mostly ``None``."""
        elapsed = now - self.updated_at if self.updated_at is not None else 0.0
        self.updated_at = now
        self.tokens = min(MAX_TOKENS, self.tokens + SHARE + PER_S * elapsed)
        if self.tokens < 1:
            return None
        idle = [view for view in views if self._wants_one(view, now)]
        if not idle:
            return None
        self.tokens -= 1
        return min(idle, key=lambda view: view.judged_at)

    def _wants_one(self, view: NodeView, now: float) -> bool:
        if view.ejected:
            return self.ejection.may_probe(view, now)
        idle_s = now - view.judged_at
        return (
            not view.outstanding
            and view.judged_at > 0
            and idle_s > EXPLORE_AFTER_BELIEFS * view.believed_s
        )
