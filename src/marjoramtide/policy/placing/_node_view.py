"""What an ingress node knows of one serving node."""

import bisect

import attrs

from marjoramtide.exchange import LoadReport
from marjoramtide.membership import Member
from marjoramtide.policy._ewma import Ewma
from marjoramtide.policy.pace import stalled_ms

MIN_HALF_LIFE_S = 0.2
MAX_HALF_LIFE_S = 20.0
# A response that takes more than this many times the median latency counts as bad.
SLOW_ANSWER_FACTOR = 3.0


@attrs.define(slots=True, eq=False, repr=False)
class NodeView:
    """Reports, own observations and own requests in flight of one serving node.

    ``network_ms`` starts at the typical value for the distance and follows the low end of the
    samples. ``sent_since_report`` counts own requests that the latest report can't include.
    ``closed_until`` and ``back_off_until`` come from rejections: the node is closed while it
    accepts nothing, and backs off while it is full. ``sends_bulletins`` is true once the node has
    sent this one a bulletin, since it then sends one for each change. ``last_answer_at`` is when it
    last answered a request; ``last_outcome_at`` when one was last answered, lost or cancelled. A
    rejection is neither: the node of a server that hangs still rejects requests.

    Observations of a slow or failing node decay, because a node that gets no requests can't show
    that it has recovered. Their weight halves within ``half_life_s``: short at first, since bursts
    of a noisy neighbour end within milliseconds, and doubled each time that the node is found to be
    no better, so that a lasting straggler is tried ever more rarely.
    """

    member: Member
    initial_network_ms: float
    tier: int
    started_at: float
    network_ms: Ewma = attrs.field(init=False)
    report: LoadReport | None = None
    reported_at: float = 0.0
    sends_bulletins: bool = False
    outstanding: list[float] = attrs.Factory(list)
    sent_since_report: int = 0
    latency_ms: Ewma = attrs.Factory(lambda: Ewma(0.3, 0.3))
    success: Ewma = attrs.Factory(lambda: Ewma(0.2, 0.2, 1.0, 1))
    last_answer_at: float = 0.0
    last_outcome_at: float = 0.0
    closed_until: float = 0.0
    back_off_until: float = 0.0
    ejected: bool = False
    ejected_until: float = 0.0
    ejections: int = 0
    probes_passed: int = 0
    result_count: int = 0
    half_life_s: float = MIN_HALF_LIFE_S

    def __attrs_post_init__(self) -> None:
        self.network_ms = Ewma(0.05, 0.3, self.initial_network_ms, 1)

    @property
    def node(self) -> str:
        return self.member.node

    def note_sent(self, now: float) -> None:
        self.outstanding.append(now)
        self.sent_since_report += 1

    def note_finished(self, now: float, elapsed_ms: float | None) -> None:
        """Remove the request sent ``elapsed_ms`` ago, or the oldest one where that is unknown."""
        if not self.outstanding:
            return
        position = 0
        if elapsed_ms is not None:
            position = bisect.bisect_right(self.outstanding, now - elapsed_ms / 1000 + 1e-6) - 1
        del self.outstanding[max(0, position)]
        self.sent_since_report = min(self.sent_since_report, len(self.outstanding))

    def take_report(self, report: LoadReport, now: float) -> None:
        """Store a report unless the stored one is newer.

        Two responses can overtake each other on separate connections, and an older report from
        before a burst would make a full node look idle. The sequence number is assigned by the
        sender, so no clocks are compared.
        """
        latest = self.report
        if latest is not None and (0 < report.sequence <= latest.sequence):
            return
        if latest is not None and report.incarnation > latest.incarnation:
            self.reset_history()
        self.report = report
        self.reported_at = now
        self.started_at = now - report.uptime_s
        written_at = now - self.network_ms.value / 2000
        self.sent_since_report = len(self.outstanding) - bisect.bisect_left(
            self.outstanding, written_at
        )
        self.closed_until = 0.0 if report.accepts else self.closed_until

    def reset_history(self) -> None:
        """Discard the observations of a backend server process that has been replaced.

        Otherwise a server that has crashed and restarted would be taken for a straggler because of
        its former failures and latencies, and stay idle while the others are full.
        """
        self.latency_ms = Ewma(0.3, 0.3)
        self.success = Ewma(0.2, 0.2, 1.0, 1)
        self.half_life_s = MIN_HALF_LIFE_S
        self.back_off_until = 0.0
        self.ejected = False
        self.ejected_until = 0.0
        self.ejections = 0
        self.probes_passed = 0
        self.result_count = 0

    def note_latency(self, elapsed_ms: float, typical_ms: float, now: float) -> None:
        """Record how long a response took, compared with the median of the service."""
        self.latency_ms.add(elapsed_ms)
        self.note_outcome(elapsed_ms <= SLOW_ANSWER_FACTOR * typical_ms, now)

    def note_outcome(self, good: bool, now: float) -> None:
        """Adapt the half-life of observations of this node.

        A bad outcome after a pause doubles it; consecutive bad outcomes count as one.
        """
        if good:
            self.half_life_s = max(self.half_life_s / 2, MIN_HALF_LIFE_S)
        elif now - self.last_outcome_at > self.half_life_s:
            self.half_life_s = min(self.half_life_s * 2, MAX_HALF_LIFE_S)
        self.last_outcome_at = now

    def observation_weight(self, since: float, now: float) -> float:
        """Return the weight (1 down to 0) of an observation made at ``since``."""
        return 1 / (1 + ((now - since) / self.half_life_s) ** 2)

    def success_rate(self, now: float) -> float:
        """Return the lower of the observed and the reported success rate."""
        failure_rate = (1 - self.success.value) * self.observation_weight(self.last_outcome_at, now)
        if self.report is not None and self.report.success_rate < 1:
            reported = (1 - self.report.success_rate) * self.observation_weight(
                self.reported_at, now
            )
            failure_rate = max(failure_rate, reported)
        return 1 - failure_rate

    def stalled_ms(self, usual_ms: float, now: float) -> float:
        """Return for how many ms a response to this node has been overdue, 0 if none is."""
        oldest = self.outstanding[0] if self.outstanding else None
        return stalled_ms(oldest, self.last_answer_at, len(self.outstanding), usual_ms, now)

    def slow_start_share(self, now: float, slow_start_s: float) -> float:
        """Return the share (0.1 to 1) of its full load that a node gets after a cold start."""
        uptime_s = now - self.started_at
        return 1.0 if uptime_s >= slow_start_s else max(0.1, uptime_s / slow_start_s)
