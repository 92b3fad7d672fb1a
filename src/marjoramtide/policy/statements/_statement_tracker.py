"""The current statements of one process of a backend server."""

import math

import attrs

from marjoramtide.exchange import ServerStatement

# How long a limit stays in force after it was last stated, in seconds: a server close to its
# capacity states it in one response and not in the next.
HOLD_S = 1.0


@attrs.define(slots=True, eq=False, repr=False)
class StatementTracker:
    """Tracks the newest rate limit and leaving state that one backend server process has stated.

    Responses may arrive out of order. One is known to be newer than another if its request was sent
    after the other had arrived. A limit that falls, or is stated for the first time, applies at
    once, since too few requests for a moment do less harm than too many; a limit rises or ends only
    by a newer response, ``HOLD_S`` after it was last stated.

    A health check without a limit does not end one unless an earlier health check has stated one: a
    server may state limits only in responses to requests.

    Other nodes report what they know from responses that passed through an earlier process of this
    node. Their limit is used until the server itself has responded; that the server is leaving is
    always used, since no process revokes it. A server without an identity may be another process
    each time it states that it is not leaving. Times are in seconds of the monotonic clock;
    ``stated_at`` is when a limit of ``rate_per_s`` or less was last stated, ``since`` when the
    limit was first stated or last fell.
    """

    instance: str = ""
    rate_per_s: float | None = None
    leaving: bool = False
    stated_at: float = -math.inf
    since: float = -math.inf
    leaving_at: float = -math.inf
    health_states_rate: bool = False
    has_responded: bool = False

    @property
    def statement(self) -> ServerStatement | None:
        """Return the statement for other nodes, ``None`` if the server requests nothing."""
        if self.rate_per_s is None and not self.leaving:
            return None
        return ServerStatement(self.instance, self.rate_per_s, self.leaving)

    def record_response(self, statement: ServerStatement, sent_at: float, now: float) -> None:
        """Record the statement in the response to a request that was sent at ``sent_at``."""
        self.has_responded = True
        self._update_rate(statement.rate_per_s, sent_at, now)
        self._update_leaving(statement.leaving, sent_at, now)

    def record_health(self, statement: ServerStatement, sent_at: float, now: float) -> None:
        """Record the statement in a health check that was sent at ``sent_at``."""
        self.health_states_rate |= statement.rate_per_s is not None
        if self.health_states_rate:
            self._update_rate(statement.rate_per_s, sent_at, now)
        self._update_leaving(statement.leaving, sent_at, now)

    def record_peer_report(self, statement: ServerStatement, now: float) -> None:
        """Record the statement of this process that another node reports."""
        if not statement.instance or statement.instance != self.instance:
            return
        if statement.leaving:
            self._update_leaving(True, now, now)
        if (
            not self.has_responded
            and not self.health_states_rate
            and statement.rate_per_s is not None
        ):
            self._update_rate(statement.rate_per_s, now, now)

    def _update_rate(self, rate: float | None, sent_at: float, now: float) -> None:
        current = self.rate_per_s
        if rate is not None and (current is None or rate <= current):
            if rate != current:
                self.since = now
            self.rate_per_s = rate
            self.stated_at = now
        elif current is not None and sent_at >= self.stated_at and now - self.stated_at >= HOLD_S:
            self.rate_per_s = rate
            self.stated_at = now

    def _update_leaving(self, leaving: bool, sent_at: float, now: float) -> None:
        if leaving:
            self.leaving = True
            self.leaving_at = now
        elif not self.instance and sent_at >= self.leaving_at:
            self.leaving = False
