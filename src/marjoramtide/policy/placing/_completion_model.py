"""Prediction of the time until a request is answered successfully."""

import attrs

from marjoramtide.membership import MemberState
from marjoramtide.policy.placing._node_view import NodeView
from marjoramtide.policy.placing._recent_latency import RecentLatency
from marjoramtide.policy.placing._service_mean import ServiceMean

DEFAULT_LATENCY_MS = 10.0
# A load report counts by half once it is this many service times old, but not before the minimum.
REPORT_HALF_LIFE_SERVICE_TIMES = 2.0
MIN_REPORT_HALF_LIFE_MS = 20.0
# The prediction is at least this share of the latency that this node has observed.
OBSERVED_LATENCY_SHARE = 0.25
CONTENTION = 0.5
# Service times that differ by less than this factor count as equal.
NOISE_FACTOR = 2.0
MIN_SUCCESS_RATE = 0.02
SUSPECT_DIVISOR = 2.0


@attrs.define(slots=True, eq=False, repr=False)
class CompletionModel:
    """Predicts, for each node, how long a request takes until it is answered successfully.

    The prediction is the sum of network, waiting and service time. The waiting time is the work
    ahead divided by the effective concurrency. Below full load it grows with the fourth power of
    the load, which stands for the probability that a burst fills the server before this request
    arrives, and spreads requests over idle nodes. The corrections that follow are commented where
    they are applied.
    """

    slots: int
    urgent_slots: int
    slow_start_s: float
    latency: RecentLatency = attrs.Factory(RecentLatency)
    service_mean: ServiceMean = attrs.Factory(ServiceMean)

    def typical_ms(self) -> float:
        """Return the median latency of the service."""
        return self.latency.median or DEFAULT_LATENCY_MS

    def score(self, view: NodeView, urgent: bool, now: float) -> float:
        """Return the expected milliseconds to a successful response, the cost of retries included.

        A server that fails immediately is never busy, so a policy that goes by load alone sends it
        most of the requests. A failure costs its own latency, a retry at another node and part of
        the retry budget. With success rate p, 1/p attempts are needed for a successful response, so
        the score of a server that only fails tends to infinity.
        """
        success = max(MIN_SUCCESS_RATE, view.success_rate(now))
        if view.member.state is MemberState.SUSPECT:
            success /= SUSPECT_DIVISOR
        predicted_ms = self.predict_ms(view, urgent, now)
        return (predicted_ms + (1 - success) * self.typical_ms()) / success

    def predict_ms(self, view: NodeView, urgent: bool, now: float) -> float:
        """Return the predicted milliseconds to any response, successful or not."""
        service_ms = self._service_ms(view, now)
        load = self._load(view, urgent, service_ms, now)
        wait_ms = service_ms * (CONTENTION * load**4 if load < 1 else load - CONTENTION)
        predicted_ms = view.network_ms.value + wait_ms + service_ms
        # The observed latency bounds the reported one: a report that promises less than a quarter
        # of what this node's requests took is wrong or out of date.
        observed_ms = view.latency_ms.value * view.observation_weight(view.last_outcome_at, now)
        predicted_ms = max(predicted_ms, OBSERVED_LATENCY_SHARE * observed_ms)
        # A rejection tells when a routine request would be accepted. Urgent ones go by the urgent
        # queue in the report; otherwise a surge of routine rejections would drive all of them to
        # the few nodes that haven't rejected anything yet.
        if view.back_off_until > now and (view.report is None or not urgent):
            predicted_ms = max(predicted_ms, (view.back_off_until - now) * 1000 + service_ms)
        return max(predicted_ms, view.stalled_ms(predicted_ms, now))

    def _service_ms(self, view: NodeView, now: float) -> float:
        typical = self.service_mean.service_ms or self.typical_ms()
        if view.report is None or not view.report.service_time_ms:
            return typical
        # Averaged service times of equal servers differ by chance. Always preferring the lowest
        # one would unbalance a busy service.
        if typical / NOISE_FACTOR < view.report.service_time_ms < typical * NOISE_FACTOR:
            return typical
        weight = view.observation_weight(view.reported_at, now)
        return typical + (view.report.service_time_ms - typical) * weight

    def _limit(self, view: NodeView, now: float) -> float:
        if view.report is None:
            return self.slots
        cut = max(0, self.slots - view.report.limit)
        return view.report.limit + cut * (1 - view.observation_weight(view.reported_at, now))

    def _load(self, view: NodeView, urgent: bool, service_ms: float, now: float) -> float:
        """Return the work ahead as a multiple of the effective concurrency."""
        report = view.report
        limit = self._limit(view, now)
        expected = self.service_mean.load * limit
        if report is None:
            ahead = expected
        else:
            reported = report.in_use + report.queued_urgent
            reported += 0 if urgent else report.queued_routine
            # A report from before a burst still says idle and attracts every ingress node. The
            # older it is, the more the mean load of the service takes its place.
            age_ms = (now - view.reported_at) * 1000
            half_life_ms = max(MIN_REPORT_HALF_LIFE_MS, REPORT_HALF_LIFE_SERVICE_TIMES * service_ms)
            weight = 1 / (1 + (age_ms / half_life_ms) ** 2)
            ahead = reported * weight + expected * (1 - weight)
        effective_limit = limit * view.slow_start_share(now, self.slow_start_s)
        effective_limit -= 0 if urgent else self.urgent_slots
        # Between two reports this node would send all its traffic to the server that looked idle.
        # Requests sent since the report count as work ahead, so the second one already sees the
        # first.
        return (ahead + view.sent_since_report) / max(1.0, effective_limit)
