"""What one start of a backend server has said of itself."""

import math

import attrs

from marjoramtide.exchange import ServerStatement

# For how long a limit stays in force after it was last named, in seconds: a server on the verge
# names it in one answer and not in the next.
HELD_S = 1.0


@attrs.define(slots=True, eq=False, repr=False)
class StatementTracker:
    """The newest of each thing that one start of a backend server has said.

    Answers overtake each other. One is newer than another for certain where its request was sent
    after the other had come. A limit that falls, or is named for the first time, holds at once,
    since too little for a moment harms less than too much; one that rises or ends does so by a
    newer answer, and ``HELD_S`` after it was last named.

    Its health says nothing of the end of a limit unless it has named one: a server may name limits
    in the answers to requests alone.

    Other nodes tell what they know from answers that came by an earlier run of this node. They are
    believed until the server itself has answered, and always in that it leaves, which no start
    takes back. A server without an identity may be another start each time it says that it doesn't
    leave. Times are in seconds of the monotonic clock; ``named_at`` is when a limit of
    ``rate_per_s`` or less was last named, ``since`` when the limit was first named or last fell.
    """

    instance: str = ""
    rate_per_s: float | None = None
    leaving: bool = False
    named_at: float = -math.inf
    since: float = -math.inf
    left_at: float = -math.inf
    health_names: bool = False
    answered: bool = False

    @property
    def statement(self) -> ServerStatement | None:
        """Return what other nodes are told, ``None`` where the server asks for nothing."""
        if self.rate_per_s is None and not self.leaving:
            return None
        return ServerStatement(self.instance, self.rate_per_s, self.leaving)

    def record_response(self, said: ServerStatement, asked_at: float, now: float) -> None:
        """Take in what the answer to a request that was sent at ``asked_at`` says."""
        self.answered = True
        self._take_rate(said.rate_per_s, asked_at, now)
        self._take_leaving(said.leaving, asked_at, now)

    def record_health(self, said: ServerStatement, asked_at: float, now: float) -> None:
        """Take in what an answer of its health says."""
        self.health_names |= said.rate_per_s is not None
        if self.health_names:
            self._take_rate(said.rate_per_s, asked_at, now)
        self._take_leaving(said.leaving, asked_at, now)

    def record_peer_report(self, said: ServerStatement, now: float) -> None:
        """Take in what another node has heard of this start."""
        if not said.instance or said.instance != self.instance:
            return
        if said.leaving:
            self._take_leaving(True, now, now)
        if not self.answered and not self.health_names and said.rate_per_s is not None:
            self._take_rate(said.rate_per_s, now, now)

    def _take_rate(self, rate: float | None, asked_at: float, now: float) -> None:
        held = self.rate_per_s
        if rate is not None and (held is None or rate <= held):
            if rate != held:
                self.since = now
            self.rate_per_s = rate
            self.named_at = now
        elif held is not None and asked_at >= self.named_at and now - self.named_at >= HELD_S:
            self.rate_per_s = rate
            self.named_at = now

    def _take_leaving(self, leaving: bool, asked_at: float, now: float) -> None:
        if leaving:
            self.leaving = True
            self.left_at = now
        elif not self.instance and asked_at >= self.left_at:
            self.leaving = False
