"""The predicted time to a good answer."""

import attrs

from marjoramtide.membership import MemberState
from marjoramtide.policy.placing._node_view import NodeView
from marjoramtide.policy.placing._recent_latency import RecentLatency
from marjoramtide.policy.placing._service_mean import ServiceMean

ASSUMED_LATENCY_MS = 10.0
REPORT_TRUST_SERVICE_TIMES = 2.0
REPORT_TRUST_AT_LEAST_MS = 20.0
OWN_TIME_DOUBT = 0.25
CONTENTION = 0.5
NOISE = 2.0
LOWEST_SUCCESS = 0.02
SUSPECT_FACTOR = 2.0


@attrs.define(slots=True, eq=False, repr=False)
class CompletionModel:
    """Predicts, for each node, how long a request takes until its caller has a good answer.

    The parts add up: network, wait and service. The wait is the work ahead over the effective
    concurrency; below a full server it grows with the fourth power of its load, which stands for
    the chance that a burst fills it before this request arrives, and spreads load over idle nodes.
    Then follow the corrections, each commented where it stands.
    """

    slots: int
    urgent_slots: int
    slow_start_s: float
    latency: RecentLatency = attrs.Factory(RecentLatency)
    usual: ServiceMean = attrs.Factory(ServiceMean)

    def typical_ms(self) -> float:
        """Return the usual latency of the service."""
        return self.latency.median or ASSUMED_LATENCY_MS

    def score(self, view: NodeView, urgent: bool, now: float) -> float:
        """Return the expected milliseconds to a good answer, costs of a retry included.

        Failure: a server fails at once instead of working. It is never busy, so each policy that
        looks at load alone sends it most of the requests. A failure costs the time to it, a try
        elsewhere and a place in the retry budget; with success rate p, 1/p tries are needed for
        a good answer, so the score of a server that only fails tends to infinity.
        """
        success = max(LOWEST_SUCCESS, view.success_rate(now))
        if view.member.state is MemberState.SUSPECT:
            success /= SUSPECT_FACTOR
        predicted = self.predict_ms(view, urgent, now)
        return (predicted + (1 - success) * self.typical_ms()) / success

    def predict_ms(self, view: NodeView, urgent: bool, now: float) -> float:
        """Return the predicted milliseconds to any answer."""
        service_ms = self._service_ms(view, now)
        load = self._load(view, urgent, service_ms, now)
        wait_ms = service_ms * (CONTENTION * load**4 if load < 1 else load - CONTENTION)
        predicted = view.network.value + wait_ms + service_ms
        # Own observation bounds the report: a report that promises less than a quarter of what this
        # node's requests took is misleading or out of date.
        own_ms = view.elapsed.value * view.belief(view.judged_at, now)
        predicted = max(predicted, OWN_TIME_DOUBT * own_ms)
        # A refusal tells when a routine request would be taken. Urgent ones go by the urgent queue
        # that the report shows: else a surge of routine refusals would drive them all to the few
        # nodes that haven't refused anything yet.
        if view.back_off_until > now and (view.report is None or not urgent):
            predicted = max(predicted, (view.back_off_until - now) * 1000 + service_ms)
        return max(predicted, view.stalled_ms(predicted, now))

    def _service_ms(self, view: NodeView, now: float) -> float:
        typical = self.usual.service_ms or self.typical_ms()
        if view.report is None or not view.report.service_time_ms:
            return typical
        # Smoothed times of equal servers differ by chance. Preferring the luckiest one unbalances a
        # busy service, so differences below a factor of NOISE count as none.
        if typical / NOISE < view.report.service_time_ms < typical * NOISE:
            return typical
        belief = view.belief(view.reported_at, now)
        return typical + (view.report.service_time_ms - typical) * belief

    def _limit(self, view: NodeView, now: float) -> float:
        if view.report is None:
            return self.slots
        cut = max(0, self.slots - view.report.limit)
        return view.report.limit + cut * (1 - view.belief(view.reported_at, now))

    def _load(self, view: NodeView, urgent: bool, service_ms: float, now: float) -> float:
        """Return the work ahead as a multiple of the effective concurrency."""
        report = view.report
        limit = self._limit(view, now)
        expected = self.usual.load * limit
        if report is None:
            ahead = expected
        else:
            known = report.in_use + report.queued_urgent
            known += 0 if urgent else report.queued_routine
            # Failure: a report from before a burst still says idle and draws everyone. The longer
            # ago, the more the load is taken to be that of the service as a whole.
            age_ms = (now - view.reported_at) * 1000
            trusted = max(REPORT_TRUST_AT_LEAST_MS, REPORT_TRUST_SERVICE_TIMES * service_ms)
            fresh = 1 / (1 + (age_ms / trusted) ** 2)
            ahead = known * fresh + expected * (1 - fresh)
        effective = limit * view.ramp(now, self.slow_start_s)
        effective -= 0 if urgent else self.urgent_slots
        # Failure: between two reports this node sends its whole traffic to the one that looked
        # idle. What was sent since the report counts as work ahead, so the second request already
        # sees the first.
        return (ahead + view.sent_since) / max(1.0, effective)
