"""The policy that asks where an answer is expected before it loses its worth."""

import math

import attrs

from marjoramtide.exchange import LoadReport
from marjoramtide.membership import MemberState
from marjoramtide.policy._call_profile import CallProfile
from marjoramtide.policy.pace import DEFAULT_WORK_MS, WorkTimes, run_ms
from marjoramtide.policy.placing._node_view import NodeView
from marjoramtide.policy.placing._predicted_selector import DISTANCES_MS, PredictedSelector

# Nodes that are compared for one request at most; looking at one takes some five microseconds.
MOST_COMPARED = 24
# How far, as a share of their limit, the loads of two nodes may differ and still count as equal.
# Below it chance decides, so that the nodes that know the same best server don't all send there.
LOAD_JITTER = 0.15
# A node beside whose server the request began saves a hop: worth this much load.
LOCAL_LOAD_BONUS = 0.1
# How long, in milliseconds, a slowdown is believed where nothing is known of when it ends.
UNCERTAIN_MS = 300.0
# For how many of its usual states a followed node that tells nothing new is believed to be as it
# was. News is lost with a datagram or a change of who follows whom; of servers that are slow a
# third of the time, one in seventy stays as it is for seven states.
FOLLOWED_STATES = 7.0
# Where undisturbed work takes so many times longer than at the median of the service, the server
# itself is slow, for reasons that it does not tell.
STRAGGLES = 1.6
SOUND_SUCCESS = 0.8
# What takes so many times longer than undisturbed is slowed: above what a short wait adds.
SLOWED_FACTOR = 1.4


@attrs.define(slots=True, eq=False, repr=False)
class ForecastSelector(PredictedSelector):
    """Asks the least loaded of the nearest nodes that will answer before the request's goal.

    For backend servers that tell how much their neighbours slow them down. Any node that answers
    in time is as good as the quickest, so of those the nearest data centre wins, and there the
    least loaded one. Where no node is expected to be in time, the quickest is asked.
    """

    work: dict[str, WorkTimes] = attrs.Factory(dict)

    def _choose_from(
        self, pool: list[NodeView], profile: CallProfile, now: float
    ) -> NodeView | None:
        if len(pool) > MOST_COMPARED:
            pool = self._sampled(pool)
        work_ms = self._planned_ms(profile)
        left_ms = self._left_ms(profile, now)
        order, chosen = min(
            ((self._order(view, work_ms, left_ms, now), view) for view in pool),
            key=lambda each: each[0],
        )
        if (
            profile.attempt > 1
            and order[0] == math.inf
            and not self._accepts_any_answer(profile, now)
        ):
            # Failure: more comes than can be done, and each request asks one full node after the
            # other. The asking alone then takes the processor time that the answers need. A first
            # try asks, since only the node itself knows; a second one needs a reason.
            return None
        return chosen

    def _accepts_any_answer(self, profile: CallProfile, now: float) -> bool:
        """Tell whether a request is past its goal, so that any answer is better than none."""
        return not now < profile.goal < profile.deadline

    def _sampled(self, pool: list[NodeView]) -> list[NodeView]:
        """Return nodes of the nearest data centre first, and others drawn at random."""
        near = [view for view in pool if view.tier == 0]
        far = [view for view in pool if view.tier > 0]
        near = self.rng.sample(near, min(len(near), MOST_COMPARED // 2))
        return near + self.rng.sample(far, min(len(far), MOST_COMPARED - len(near)))

    def _order(
        self, view: NodeView, work_ms: float, left_ms: float, now: float
    ) -> tuple[float, float]:
        """Return what nodes are compared by, the smallest first: in time, quick, near, idle."""
        expected_ms = self.forecast_ms(view, work_ms, now)
        if expected_ms > left_ms or not self._is_healthy(view, now):
            return math.inf, expected_ms / max(0.05, view.success_rate(now))
        load = self._load(view, now) + self.rng.random() * LOAD_JITTER
        if view.node == self.self_member.node:
            load -= LOCAL_LOAD_BONUS
        # A slowed server may be in time, but each request holds its slot there for longer.
        is_slow = expected_ms > SLOWED_FACTOR * (view.network.value + work_ms)
        return view.tier + len(DISTANCES_MS) * is_slow, load

    def _is_healthy(self, view: NodeView, now: float) -> bool:
        return (
            view.member.state is not MemberState.SUSPECT
            and view.back_off_until <= now
            and view.success_rate(now) >= SOUND_SUCCESS
        )

    def _load(self, view: NodeView, now: float) -> float:
        """Return what runs and waits at a node, own requests since its report included."""
        report = view.report
        if report is None:
            return len(view.outstanding) / max(1, self.model.slots)
        known = report.in_use + report.queued_urgent + report.queued_routine
        return (known + view.sent_since) / max(1, report.limit)

    def forecast_ms(self, view: NodeView, work_ms: float, now: float) -> float:
        """Return when an answer to a request that is sent now is expected, in milliseconds."""
        report = view.report
        network_ms = view.network.value
        if report is None:
            return network_ms + work_ms * self._service_slowdown()
        age_ms = (now - view.reported_at) * 1000
        slowdown, holds_ms = pace_after(report, age_ms + network_ms, view.followed)
        own_ms = work_ms * self._straggler_factor(view, now)
        wait_ms = max(0.0, self._load(view, now) - 1) * report.service_time_ms * slowdown
        if wait_ms and holds_ms is not None:
            holds_ms = max(0.0, holds_ms - wait_ms)
        expected_ms = network_ms + wait_ms + run_ms(own_ms, slowdown, holds_ms, usual_of(report))
        return max(expected_ms, view.stalled_ms(expected_ms, now))

    def _service_slowdown(self) -> float:
        """Return the mean slowdown of the nodes that have told of theirs, 1 where none has.

        Failure: a node that nothing was heard of yet is taken for quick, and preferred to those
        that are known to be. In the first seconds two in five late answers came from such nodes.
        """
        told = [usual_of(view.report) for view in self.views.values() if view.report is not None]
        return sum(told) / len(told) if told else 1.0

    def _straggler_factor(self, view: NodeView, now: float) -> float:
        """Return how many times longer a server takes than the others, for reasons of its own."""
        usual_ms = self.model.usual.service_ms
        assert view.report is not None
        own_ms = view.report.service_time_ms
        if not usual_ms or own_ms < STRAGGLES * usual_ms:
            return 1.0
        return 1 + (own_ms / usual_ms - 1) * view.belief(view.reported_at, now)

    def _planned_ms(self, profile: CallProfile) -> float:
        known = self.work.get(profile.kind)
        if known is not None:
            return known.planned_ms
        # Not 0, by which a slowed server would look as good as a quick one to every first request.
        return self.model.usual.service_ms or DEFAULT_WORK_MS

    def _left_ms(self, profile: CallProfile, now: float) -> float:
        """Return the time until the goal, or until the deadline where the goal has passed."""
        until = profile.goal if now < profile.goal < profile.deadline else profile.deadline
        return (until - now) * 1000

    def reported(self, node: str, report: LoadReport, now: float) -> None:
        view = self.views.get(node)
        if view is not None:
            view.followed = True
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
            self.work.setdefault(kind, WorkTimes()).learn(work_ms)
        PredictedSelector.answered(
            self, node, report, elapsed_ms, succeeded, now, served_ms=served_ms
        )

    def hedge_delay_ms(
        self, node: str, now: float, profile: CallProfile | None = None
    ) -> float | None:
        """Return when a second try could still answer before the goal, but hardly later.

        Sooner, most second tries would be for requests that are about to be answered; later, they
        would be late too.
        """
        if profile is None or not now < profile.goal < profile.deadline:
            return PredictedSelector.hedge_delay_ms(self, node, now)
        known = self.work.get(profile.kind)
        view = self.views.get(node)
        if known is None or view is None:
            return None
        need_ms = known.planned_ms + view.network.value
        return max(need_ms, self._left_ms(profile, now) - need_ms)


def pace_after(report: LoadReport, age_ms: float, followed: bool) -> tuple[float, float | None]:
    """Return the slowdown that a report stands for after a time, and for how long it holds.

    A node tells those that follow it of each change, so there a state whose time has passed without
    news holds for another period, for ``FOLLOWED_STATES`` of them. Elsewhere the mean is all that
    is known then. Where no times of change are known, a state is believed ever less.
    """
    usual = usual_of(report)
    if report.holds_ms < 0:
        period_ms = report.period_ms or UNCERTAIN_MS
        believed = math.exp(-age_ms / (period_ms * (FOLLOWED_STATES if followed else 1)))
        return usual + (report.slowdown - usual) * believed, report.period_ms or None
    left_ms = report.holds_ms - age_ms
    if left_ms > 0:
        return report.slowdown, left_ms
    if followed and report.period_ms > 0 and age_ms < FOLLOWED_STATES * report.period_ms:
        return report.slowdown, left_ms % report.period_ms
    return usual, None


def usual_of(report: LoadReport) -> float:
    """Return the mean slowdown, at least 1."""
    return max(1.0, report.usual_slowdown)
