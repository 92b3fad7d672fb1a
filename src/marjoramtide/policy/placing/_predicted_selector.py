"""Selection by the predicted time to a successful response."""

import random
from collections.abc import Collection

import attrs

from marjoramtide.exchange import LoadReport
from marjoramtide.membership import Member
from marjoramtide.policy._call_profile import CallProfile
from marjoramtide.policy.budgets import RetryAfterHint
from marjoramtide.policy.placing._completion_model import CompletionModel
from marjoramtide.policy.placing._explorer import Explorer
from marjoramtide.policy.placing._node_view import NodeView
from marjoramtide.policy.placing._outlier_ejection import OutlierEjection
from marjoramtide.policy.placing._selector import Selector
from marjoramtide.policy.placing._spill_over import SpillOver

# The initial network time by tier: the same data centre, the same region, elsewhere.
TIER_NETWORK_MS = (0.7, 2.7, 20.0)
LOCAL_NETWORK_MS = 0.0
RESAMPLE_FACTOR = 2.0
TIE_FACTOR = 0.95
MIN_CLOSED_MS = 1000.0
UNREACHABLE_MS = 500.0
# The retry delay while no node of the service is known: a node that has just started discovers the
# others within 0.3 to 0.7 s.
NO_NODE_RETRY_S = 0.3
MIN_HEDGE_DELAY_MS = 1.0


@attrs.define(slots=True, eq=False, repr=False)
class PredictedSelector(Selector):
    """Chooses, from a random sample, the node with the shortest expected time to a good response.

    The nodes form tiers by distance: the same data centre, the same region, elsewhere. The nearest
    tier that has a usable node is preferred, and the next one gets a share of the requests that
    ``spill_over`` controls; ``spills`` has the state for each tier that can be the nearest, since
    a retry may find none left in the first. ``choices`` nodes are drawn from the near tier and as
    many from the next; this node's own backend server, if it provides the service, is always in the
    sample, since it saves a hop.
    """

    self_member: Member
    rng: random.Random
    model: CompletionModel
    ejection: OutlierEjection
    explorer: Explorer
    choices: int
    spill_over: float
    hedge_quantile: float
    views: dict[str, NodeView] = attrs.Factory(dict)
    spills: list[SpillOver] = attrs.Factory(lambda: [SpillOver() for _ in TIER_NETWORK_MS])
    hint: RetryAfterHint = attrs.field(init=False)
    rate_per_s: float = 0.0
    rate_updated_at: float | None = None

    def __attrs_post_init__(self) -> None:
        self.hint = RetryAfterHint(self.rng)

    def update_members(self, members: Collection[Member], now: float) -> None:
        # Members known from the start have been up for an unknown time: only those that join
        # later are assumed to be cold before their first report.
        started_at = now if self.views else float("-inf")
        known = self.views
        self.views = {}
        for member in members:
            view = known.get(member.node) or self._new_view(member, started_at)
            view.member = member
            self.views[member.node] = view

    def _new_view(self, member: Member, started_at: float) -> NodeView:
        tier = self._tier(member)
        is_self = member.node == self.self_member.node
        network_ms = LOCAL_NETWORK_MS if is_self else TIER_NETWORK_MS[tier]
        return NodeView(member, network_ms, tier, started_at)

    def _tier(self, member: Member) -> int:
        if member.region != self.self_member.region:
            return 2
        return 0 if member.data_centre == self.self_member.data_centre else 1

    def choose(
        self, profile: CallProfile, now: float, excluded: Collection[str] = ()
    ) -> str | None:
        candidates = [
            view
            for node, view in self.views.items()
            if view.closed_until <= now and node not in excluded
        ]
        if not candidates:
            return None
        if profile.idempotent and not profile.urgent and profile.attempt == 1:
            explored = self.explorer.pick(candidates, now)
            if explored is not None:
                return explored.node
        pool = [view for view in candidates if not view.ejected]
        # If only ejected nodes are left, trying one is still better than rejecting the request.
        chosen = self._choose_from(pool or candidates, profile, now)
        return None if chosen is None else chosen.node

    def _choose_from(
        self, pool: list[NodeView], profile: CallProfile, now: float
    ) -> NodeView | None:
        """Return the node to send to from a non-empty pool, ``None`` if none should be used."""
        urgent = profile.urgent
        near_tier = min(view.tier for view in pool)
        near = [view for view in pool if view.tier == near_tier]
        best, best_ms = self._best_of_sample(near, urgent, now)
        if len(near) == len(pool):
            return best
        far_tier = min(view.tier for view in pool if view.tier != near_tier)
        far = [view for view in pool if view.tier == far_tier]
        other, other_ms = self._best_of_sample(far, urgent, now)
        hop_ms = TIER_NETWORK_MS[far_tier] - TIER_NETWORK_MS[near_tier]
        far_ms = other_ms + self.spill_over * hop_ms
        band_ms = max(hop_ms, 0.5 * self.model.typical_ms())
        share = self.spills[near_tier].update(best_ms, far_ms, band_ms, now)
        return other if self.rng.random() < share else best

    def _best_of_sample(
        self, pool: list[NodeView], urgent: bool, now: float
    ) -> tuple[NodeView, float]:
        """Return the best node of a random sample and its score.

        If every ingress node chose the best server that it knows, all of them would send to the
        same one at once (herding). With a sample of its own for each choice, only some send to it
        (Mitzenmacher, 2001; Prequal, 2024). A sample of only bad nodes is drawn again once.
        """
        best, best_ms = self._best(self._sample(pool, now), urgent, now)
        if best_ms > RESAMPLE_FACTOR * self.model.typical_ms() and len(pool) > self.choices:
            again, again_ms = self._best(self._sample(pool, now), urgent, now)
            if again_ms < best_ms:
                return again, again_ms
        return best, best_ms

    def _best(self, sample: list[NodeView], urgent: bool, now: float) -> tuple[NodeView, float]:
        best, best_ms = sample[0], self.model.score(sample[0], urgent, now)
        for view in sample[1:]:
            score = self.model.score(view, urgent, now)
            # Scores within TIE_FACTOR count as equal, and the order of the sample decides.
            # Otherwise a node with one failure in 200 requests would get no requests at all while
            # the others are as idle as it is.
            if score < best_ms * TIE_FACTOR:
                best, best_ms = view, score
        return best, best_ms

    def _sample(self, pool: list[NodeView], now: float) -> list[NodeView]:
        drawn = self.rng.sample(pool, min(self.choices, len(pool)))
        own = self.views.get(self.self_member.node)
        if own is not None and own in pool and own not in drawn:
            drawn.insert(0, own)
        # A server that has just started is idle, so every ingress node would send to it while its
        # caches are empty and it is slow. It takes part in a share of the samples that grows with
        # its uptime. That holds for all ingress nodes together, as a limit for each of them
        # wouldn't.
        slow_start_s = self.model.slow_start_s
        warm = [
            view
            for view in drawn
            if (share := view.slow_start_share(now, slow_start_s)) >= 1 or self.rng.random() < share
        ]
        return warm or drawn

    def sent(self, node: str, now: float) -> None:
        view = self.views.get(node)
        if view is not None:
            view.note_sent(now)

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
        view = self.views.get(node)
        if view is None:
            return
        if succeeded:
            view.note_latency(elapsed_ms, self.model.typical_ms(), now)
            self.model.latency.add(elapsed_ms)
            self._count_answer(now)
        else:
            view.note_outcome(False, now)
        self._finish(view, report, elapsed_ms, now)
        view.last_answer_at = now
        if served_ms is not None:
            view.network_ms.add(max(0.0, elapsed_ms - served_ms))
        self.ejection.record(view, succeeded, self.views.values(), now)

    def rejected(
        self,
        node: str,
        report: LoadReport | None,
        retry_after_ms: int,
        now: float,
        *,
        elapsed_ms: float | None = None,
    ) -> None:
        view = self.views.get(node)
        if view is None:
            return
        self._finish(view, report, elapsed_ms, now)
        if report is not None and not report.accepts:
            view.closed_until = now + max(retry_after_ms, MIN_CLOSED_MS) / 1000
        else:
            view.back_off_until = now + retry_after_ms / 1000

    def lost(
        self,
        node: str,
        now: float,
        *,
        elapsed_ms: float | None = None,
        unreachable: bool = False,
    ) -> None:
        view = self.views.get(node)
        if view is not None:
            if unreachable:
                # A server that has crashed looks idle while the others are full. Each request
                # would be sent there first, and rejected if its retry then finds the others full.
                # The node is skipped until membership has detected the failure.
                view.closed_until = now + UNREACHABLE_MS / 1000
            view.note_outcome(False, now)
            self._finish(view, None, elapsed_ms, now)
            self.ejection.record(view, False, self.views.values(), now)

    def cancelled(self, node: str, now: float, *, elapsed_ms: float | None = None) -> None:
        view = self.views.get(node)
        if view is None:
            return
        self._finish(view, None, elapsed_ms, now)
        if elapsed_ms is not None and elapsed_ms > view.latency_ms.value:
            view.note_latency(elapsed_ms, self.model.typical_ms(), now)

    def _finish(
        self, view: NodeView, report: LoadReport | None, elapsed_ms: float | None, now: float
    ) -> None:
        view.note_finished(now, elapsed_ms)
        if report is not None:
            view.take_report(report, now)
            self.model.service_mean.note_report(self.views.values())

    def _count_answer(self, now: float) -> None:
        """Update the rate of successful responses, weighted towards the last second."""
        elapsed = now - self.rate_updated_at if self.rate_updated_at is not None else 0.0
        self.rate_updated_at = now
        self.rate_per_s = self.rate_per_s / (1 + max(0.0, elapsed)) + 1

    def hedge_delay_ms(
        self, node: str, now: float, profile: CallProfile | None = None
    ) -> float | None:
        # The quantile is that of the service: a straggler's own one would delay the hedged attempt
        # exactly where it is needed.
        quantile = self.model.latency.quantile(self.hedge_quantile)
        return None if quantile is None else max(MIN_HEDGE_DELAY_MS, quantile)

    def retry_after_ms(self, now: float) -> int:
        waits = [max(view.back_off_until, view.closed_until) - now for view in self.views.values()]
        base_ms = max(0.0, min(waits, default=NO_NODE_RETRY_S)) * 1000
        return self.hint.next_ms(max(base_ms, self.model.typical_ms()), self.rate_per_s, now)

    def node_snapshot(self, node: str, now: float) -> dict[str, object]:
        view = self.views.get(node)
        if view is None or view.report is None:
            return {"known": view is not None}
        report = view.report
        stated = {} if report.statement is None else attrs.asdict(report.statement)
        return stated | {
            "age_ms": round((now - view.reported_at) * 1000),
            "in_use": report.in_use,
            "queued": report.queued_urgent + report.queued_routine,
            "limit": report.limit,
            "slowdown": round(report.slowdown, 2),
            "outstanding": len(view.outstanding),
            "success_rate": round(view.success_rate(now), 2),
        }

    def explain(self, now: float) -> list[dict[str, object]]:
        return [
            {
                "node": view.node,
                "data_centre": view.member.data_centre,
                "score_ms": round(self.model.score(view, False, now), 3),
                "predicted_ms": round(self.model.predict_ms(view, False, now), 3),
                "network_ms": round(view.network_ms.value, 3),
                "own_mean_ms": round(view.latency_ms.value, 3),
                "success_rate": round(view.success_rate(now), 3),
                "outstanding": len(view.outstanding),
                "sent_since_report": view.sent_since_report,
                "report_age_s": None if view.report is None else round(now - view.reported_at, 3),
                "ramp": round(view.slow_start_share(now, self.model.slow_start_s), 2),
                "ejected": view.ejected,
                "closed": view.closed_until > now,
                "backs_off": view.back_off_until > now,
            }
            for view in self.views.values()
        ]
