"""What an ingress node believes of one serving node."""

import bisect

import attrs

from marjoramtide.exchange import LoadReport
from marjoramtide.membership import Member
from marjoramtide.policy._ewma import Ewma
from marjoramtide.policy.pace import stalled_ms

BELIEVED_S = 0.2
BELIEVED_AT_MOST_S = 20.0
SLOW = 3.0


@attrs.define(slots=True, eq=False, repr=False)
class NodeView:
    """Reports, own observations and own requests in flight of one serving node.

    ``network_ms`` begins at the distance and follows the low end of what is seen. ``sent_since``
    counts own requests that the held report can't know of. ``closed_until`` and ``back_off_until``
    come from refusals: closed while the node takes nothing, back-off while it is full.
    ``followed`` is true once the node has told this one of a change unasked, as it then goes on to.
    ``last_answer_at`` is when it last answered a request; ``judged_at`` when one was last answered,
    lost or given up. A refusal is neither: a server that hangs still has a node that refuses.

    What was learned of a slow or failing node fades, because a node that isn't asked can't tell
    that it is well again. It is believed for ``believed_s``: short at first, since a neighbour's
    burst ends within milliseconds, and twice as long each time that the node is found to be no
    better, so that a lasting straggler is tried ever more rarely.
    """

    member: Member
    distance_ms: float
    tier: int
    started_at: float
    network: Ewma = attrs.field(init=False)
    report: LoadReport | None = None
    reported_at: float = 0.0
    followed: bool = False
    outstanding: list[float] = attrs.Factory(list)
    sent_since: int = 0
    elapsed: Ewma = attrs.Factory(lambda: Ewma(0.3, 0.3))
    success: Ewma = attrs.Factory(lambda: Ewma(0.2, 0.2, 1.0, 1))
    last_answer_at: float = 0.0
    judged_at: float = 0.0
    closed_until: float = 0.0
    back_off_until: float = 0.0
    ejected: bool = False
    ejected_until: float = 0.0
    ejections: int = 0
    probes_passed: int = 0
    results: int = 0
    believed_s: float = BELIEVED_S

    def __attrs_post_init__(self) -> None:
        self.network = Ewma(0.05, 0.3, self.distance_ms, 1)

    @property
    def node(self) -> str:
        return self.member.node

    def note_sent(self, now: float) -> None:
        self.outstanding.append(now)
        self.sent_since += 1

    def note_settled(self, now: float, elapsed_ms: float | None) -> None:
        """Forget the request sent ``elapsed_ms`` ago, the oldest where that isn't known."""
        if not self.outstanding:
            return
        position = 0
        if elapsed_ms is not None:
            position = bisect.bisect_right(self.outstanding, now - elapsed_ms / 1000 + 1e-6) - 1
        del self.outstanding[max(0, position)]
        self.sent_since = min(self.sent_since, len(self.outstanding))

    def take_report(self, report: LoadReport, now: float) -> None:
        """Keep a report unless a newer one is held.

        Failure: two answers overtake each other on their separate connections, and the older one,
        from before a burst, makes a full node look idle. The sequence is the sender's own, so no
        clock takes part.
        """
        held = self.report
        if held is not None and (0 < report.sequence <= held.sequence):
            return
        if held is not None and report.incarnation > held.incarnation:
            self.forget_server()
        self.report = report
        self.reported_at = now
        self.started_at = now - report.uptime_s
        seen = now - self.network.value / 2000
        self.sent_since = len(self.outstanding) - bisect.bisect_left(self.outstanding, seen)
        self.closed_until = 0.0 if report.accepts else self.closed_until

    def forget_server(self) -> None:
        """Forget what was learned of a start of the backend server that another has replaced.

        Failure: a server crashes and is back, cold but sound. By its former failures and times it
        passes for a straggler, and stays idle while the others are full.
        """
        self.elapsed = Ewma(0.3, 0.3)
        self.success = Ewma(0.2, 0.2, 1.0, 1)
        self.believed_s = BELIEVED_S
        self.back_off_until = 0.0
        self.ejected = False
        self.ejected_until = 0.0
        self.ejections = 0
        self.probes_passed = 0
        self.results = 0

    def note_answer_time(self, elapsed_ms: float, typical_ms: float, now: float) -> None:
        """Take in how long an answer took."""
        self.elapsed.add(elapsed_ms)
        self.note_outcome(elapsed_ms <= SLOW * typical_ms, now)

    def note_outcome(self, good: bool, now: float) -> None:
        """Adapt how long trouble with this node is believed.

        A bad answer after a pause doubles it; bad answers in a row are one finding, not many.
        """
        if good:
            self.believed_s = max(self.believed_s / 2, BELIEVED_S)
        elif now - self.judged_at > self.believed_s:
            self.believed_s = min(self.believed_s * 2, BELIEVED_AT_MOST_S)
        self.judged_at = now

    def belief(self, since: float, now: float) -> float:
        """Return the share (1 to 0) to which what was learned at ``since`` is still believed."""
        return 1 / (1 + ((now - since) / self.believed_s) ** 2)

    def success_rate(self, now: float) -> float:
        """Return the lower of what this node saw and what the serving node reports."""
        failing = (1 - self.success.value) * self.belief(self.judged_at, now)
        if self.report is not None and self.report.success_rate < 1:
            reported = (1 - self.report.success_rate) * self.belief(self.reported_at, now)
            failing = max(failing, reported)
        return 1 - failing

    def stalled_ms(self, usual_ms: float, now: float) -> float:
        """Return for how long own requests have been owed an answer beyond what is usual."""
        oldest = self.outstanding[0] if self.outstanding else None
        return stalled_ms(oldest, self.last_answer_at, len(self.outstanding), usual_ms, now)

    def ramp(self, now: float, slow_start_s: float) -> float:
        """Return the share (0 to 1) of its full load that a node gets after a cold start."""
        uptime_s = now - self.started_at
        return 1.0 if uptime_s >= slow_start_s else max(0.1, uptime_s / slow_start_s)
