"""Selection by which nodes are expected to answer before the request's goal."""

import math

import attrs

from marjoramtide.exchange import LoadReport
from marjoramtide.membership import MemberState
from marjoramtide.policy._call_profile import CallProfile
from marjoramtide.policy.pace import DEFAULT_WORK_MS, WorkTimes, run_ms
from marjoramtide.policy.placing._node_view import NodeView
from marjoramtide.policy.placing._predicted_selector import TIER_NETWORK_MS, PredictedSelector

# The most nodes that are compared for one request; each takes some five microseconds.
MAX_COMPARED = 24
# Loads that differ by less than this share of the limit count as equal. The choice among these is
# random, so that ingress nodes that know the same best server don't all send their requests there.
LOAD_JITTER = 0.15
# The own backend server saves a network hop, which is worth this much load.
LOCAL_LOAD_BONUS = 0.1
# The time constant of a slowdown, in milliseconds, if the server's usual period is unknown.
DEFAULT_PERIOD_MS = 300.0
# For how many of its usual periods a node that sends bulletins is assumed unchanged without one. A
# bulletin can be lost with a datagram or a change of its recipients; of servers that are slow a
# third of the time, one in seventy stays in its state for seven periods.
BULLETIN_TRUST_PERIODS = 7.0
# A server whose undisturbed work takes this many times the median of the service is slow for
# reasons that it doesn't report.
STRAGGLER_FACTOR = 1.6
MIN_HEALTHY_SUCCESS = 0.8
# A request that takes this many times its undisturbed time is slowed; a short wait adds less.
SLOWED_FACTOR = 1.4


@attrs.define(slots=True, eq=False, repr=False)
class ForecastSelector(PredictedSelector):
    """Chooses the least loaded of the nearest nodes that will answer before the request's goal.

    It is meant for backend servers that report how much their neighbours slow them down. Any node
    that answers in time is as good as the fastest, so among these the nearest data centre is
    preferred, and there the least loaded node. If none is expected to be in time, the fastest is
    chosen.
    """

    work_times: dict[str, WorkTimes] = attrs.Factory(dict)

    def _choose_from(
        self, pool: list[NodeView], profile: CallProfile, now: float
    ) -> NodeView | None:
        if len(pool) > MAX_COMPARED:
            pool = self._sample_by_distance(pool)
        work_ms = self._planned_ms(profile)
        remaining_ms = self._remaining_ms(profile, now)
        sort_key, chosen = min(
            ((self._sort_key(view, work_ms, remaining_ms, now), view) for view in pool),
            key=lambda each: each[0],
        )
        if (
            profile.attempt > 1
            and sort_key[0] == math.inf
            and not self._accepts_any_answer(profile, now)
        ):
            # Under overload each request would otherwise be sent to one full node after another,
            # and the attempts alone would use the processor time that responses need. A first
            # attempt is made, since only the node itself knows its load; a retry needs a reason.
            return None
        return chosen

    def _accepts_any_answer(self, profile: CallProfile, now: float) -> bool:
        """Return whether no goal is left to meet, so that any response is better than none."""
        return not now < profile.goal < profile.deadline

    def _sample_by_distance(self, pool: list[NodeView]) -> list[NodeView]:
        """Return a random sample, up to half of it from the own data centre."""
        near = [view for view in pool if view.tier == 0]
        far = [view for view in pool if view.tier > 0]
        near = self.rng.sample(near, min(len(near), MAX_COMPARED // 2))
        return near + self.rng.sample(far, min(len(far), MAX_COMPARED - len(near)))

    def _sort_key(
        self, view: NodeView, work_ms: float, remaining_ms: float, now: float
    ) -> tuple[float, float]:
        """Return the sort key of a node, the smallest being best: in time, fast, near, idle."""
        expected_ms = self.forecast_ms(view, work_ms, now)
        if expected_ms > remaining_ms or not self._is_healthy(view, now):
            return math.inf, expected_ms / max(0.05, view.success_rate(now))
        load = self._load(view, now) + self.rng.random() * LOAD_JITTER
        if view.node == self.self_member.node:
            load -= LOCAL_LOAD_BONUS
        # A slowed server may answer in time, but each request occupies a slot there for longer.
        is_slow = expected_ms > SLOWED_FACTOR * (view.network_ms.value + work_ms)
        return view.tier + len(TIER_NETWORK_MS) * is_slow, load

    def _is_healthy(self, view: NodeView, now: float) -> bool:
        return (
            view.member.state is not MemberState.SUSPECT
            and view.back_off_until <= now
            and view.success_rate(now) >= MIN_HEALTHY_SUCCESS
        )

    def _load(self, view: NodeView, now: float) -> float:
        """Return the running and queued requests per slot, with own ones sent since the report."""
        report = view.report
        if report is None:
            return len(view.outstanding) / max(1, self.model.slots)
        reported = report.in_use + report.queued_urgent + report.queued_routine
        return (reported + view.sent_since_report) / max(1, report.limit)

    def forecast_ms(self, view: NodeView, work_ms: float, now: float) -> float:
        """Return the expected milliseconds until a request that is sent now is answered."""
        report = view.report
        network_ms = view.network_ms.value
        if report is None:
            return network_ms + work_ms * self._service_slowdown()
        age_ms = (now - view.reported_at) * 1000
        slowdown, holds_ms = slowdown_after(report, age_ms + network_ms, view.sends_bulletins)
        own_ms = work_ms * self._straggler_factor(view, now)
        wait_ms = max(0.0, self._load(view, now) - 1) * report.service_time_ms * slowdown
        if wait_ms and holds_ms is not None:
            holds_ms = max(0.0, holds_ms - wait_ms)
        expected_ms = (
            network_ms + wait_ms + run_ms(own_ms, slowdown, holds_ms, mean_slowdown(report))
        )
        return max(expected_ms, view.stalled_ms(expected_ms, now))

    def _service_slowdown(self) -> float:
        """Return the mean slowdown of the nodes that have reported theirs, 1 if none has.

        If a node without a report were assumed to be fast, it would be preferred to nodes that are
        known to be. In the first seconds two in five late responses came from such nodes.
        """
        reported = [
            mean_slowdown(view.report) for view in self.views.values() if view.report is not None
        ]
        return sum(reported) / len(reported) if reported else 1.0

    def _straggler_factor(self, view: NodeView, now: float) -> float:
        """Return by what factor a server is slower than others for causes it doesn't report."""
        median_ms = self.model.service_mean.service_ms
        assert view.report is not None
        own_ms = view.report.service_time_ms
        if not median_ms or own_ms < STRAGGLER_FACTOR * median_ms:
            return 1.0
        return 1 + (own_ms / median_ms - 1) * view.observation_weight(view.reported_at, now)

    def _planned_ms(self, profile: CallProfile) -> float:
        known = self.work_times.get(profile.kind)
        if known is not None:
            return known.planned_ms
        # With 0 a slowed server would look as good as a fast one to the first requests of a kind.
        return self.model.service_mean.service_ms or DEFAULT_WORK_MS

    def _remaining_ms(self, profile: CallProfile, now: float) -> float:
        """Return the time until the goal, or until the deadline if the goal has passed."""
        until = profile.goal if now < profile.goal < profile.deadline else profile.deadline
        return (until - now) * 1000

    def reported(self, node: str, report: LoadReport, now: float) -> None:
        view = self.views.get(node)
        if view is not None:
            view.sends_bulletins = True
            view.take_report(report, now)

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
        if succeeded and work_ms:
            self.work_times.setdefault(kind, WorkTimes()).add(work_ms)
        PredictedSelector.answered(
            self, node, report, elapsed_ms, succeeded, now, served_ms=served_ms
        )

    def hedge_delay_ms(
        self, node: str, now: float, profile: CallProfile | None = None
    ) -> float | None:
        """Return the latest delay after which a hedged attempt can still meet the goal.

        With a shorter delay most hedges would be for requests that are about to be answered; with a
        longer one the hedged attempt would be late too.
        """
        if profile is None or not now < profile.goal < profile.deadline:
            return PredictedSelector.hedge_delay_ms(self, node, now)
        known = self.work_times.get(profile.kind)
        view = self.views.get(node)
        if known is None or view is None:
            return None
        needed_ms = known.planned_ms + view.network_ms.value
        return max(needed_ms, self._remaining_ms(profile, now) - needed_ms)


def slowdown_after(
    report: LoadReport, age_ms: float, sends_bulletins: bool
) -> tuple[float, float | None]:
    """Return the slowdown to assume ``age_ms`` after a report, and for how many ms it holds.

    A node that sends bulletins sends one on each change. Without one its state is assumed to hold
    for another period, up to ``BULLETIN_TRUST_PERIODS`` of them. For other nodes only the mean is
    known once the state has ended. If the times of change are unknown, the weight of the reported
    slowdown decays.
    """
    mean = mean_slowdown(report)
    if report.holds_ms < 0:
        period_ms = report.period_ms or DEFAULT_PERIOD_MS
        weight = math.exp(
            -age_ms / (period_ms * (BULLETIN_TRUST_PERIODS if sends_bulletins else 1))
        )
        return mean + (report.slowdown - mean) * weight, report.period_ms or None
    remaining_ms = report.holds_ms - age_ms
    if remaining_ms > 0:
        return report.slowdown, remaining_ms
    if (
        sends_bulletins
        and report.period_ms > 0
        and age_ms < BULLETIN_TRUST_PERIODS * report.period_ms
    ):
        return report.slowdown, remaining_ms % report.period_ms
    return mean, None


def mean_slowdown(report: LoadReport) -> float:
    """Return the mean slowdown that a node reports, at least 1."""
    return max(1.0, report.usual_slowdown)
