"""Detects crashes of a backend server and the requests that were in flight."""

from collections import deque

from marjoramtide.serving._in_flight_request import InFlightRequest, LostRequest

# Lost requests that are kept until it is known whether their server has crashed. This is more than
# a server executes at once; successful health checks empty the list many times a second.
MAX_LOST = 256
# How long the backend server may continue to process a request after this node has closed its
# connection, in seconds. Servers abort such requests, or end them at the deadline, which is rarely
# further away.
ABANDONED_WORK_S = 1.0
# How long a server with requests in flight must be silent until it counts as crashed, in seconds,
# even if it accepts connections. Longer than pauses by garbage collection or a busy host, and than
# two health checks that time out after a second each.
SILENCE_TIMEOUT_S = 2.0


class CrashDetector:
    """Tracks the requests of one backend server, and returns the suspects when it crashes.

    A lost connection is not sufficient evidence, because a healthy server or the network may reset
    it. A server has crashed if its address refuses connections (``connection_refused``), if a new
    process has replaced it (``server_replaced``), or if it stays silent (``check_silence``). Until
    one of these is observed, lost requests are kept; a response to anything that was sent after the
    loss clears them. If the server has announced that it is leaving (``server_leaving``), no
    request is suspected.

    Times are in seconds of the monotonic clock. For example::

        detector.request_started(7, request)
        detector.request_lost(7, by_server=True, now=12.0)
        suspects = detector.connection_refused(12.1)
    """

    def __init__(self) -> None:
        self.in_flight: dict[int, InFlightRequest] = {}
        self.lost: deque[LostRequest] = deque(maxlen=MAX_LOST)
        self.unreachable_since: float | None = None
        self.last_response_at = float("-inf")
        self.last_failed_check_at = float("-inf")
        self.is_leaving = False

    def request_started(self, ticket: int, request: InFlightRequest) -> None:
        """Record that a byte of a request may have reached the backend server."""
        self.in_flight[ticket] = request

    def request_completed(self, ticket: int, now: float) -> None:
        """Record a complete response, which also shows that the server is alive."""
        request = self.in_flight.pop(ticket, None)
        if request is not None:
            self.note_response(request.started_at, now)

    def request_lost(self, ticket: int, *, by_server: bool, now: float) -> list[InFlightRequest]:
        """Record a request that ended without a response; returns it if the server has crashed.

        The connections to a crashed server break one after another. A new request may be refused
        before the last of the old connections breaks.
        """
        request = self.in_flight.pop(ticket, None)
        if request is None:
            return []
        self.lost.append(LostRequest(request, now, by_server))
        return self._pop_lost() if by_server and self.unreachable_since is not None else []

    def note_response(self, asked_at: float, now: float) -> None:
        """Record a response of the server to a request or health check sent at ``asked_at``."""
        self.last_response_at = now
        if self.unreachable_since is not None and asked_at > self.unreachable_since:
            self.unreachable_since = None
        kept = [
            lost
            for lost in self.lost
            if asked_at <= lost.lost_at + (0.0 if lost.by_server else ABANDONED_WORK_S)
        ]
        if len(kept) < len(self.lost):
            self.lost = deque(kept, maxlen=MAX_LOST)

    def connection_refused(self, now: float) -> list[InFlightRequest]:
        """Record that the server's address refuses connections; returns the lost requests."""
        if self.unreachable_since is None:
            self.unreachable_since = now
        return self._pop_lost()

    def health_check_failed(self, now: float) -> None:
        """Record that a health check has failed or timed out."""
        self.last_failed_check_at = now

    def silence_deadline(self) -> float | None:
        """Return when a server that fails health checks counts as crashed.

        ``None`` if no request is in flight, or if the server has responded since.
        """
        start_times = [request.started_at for request in self.in_flight.values()]
        start_times += [lost.request.started_at for lost in self.lost]
        if not start_times or self.last_failed_check_at <= self.last_response_at:
            return None
        return max(self.last_response_at, min(start_times)) + SILENCE_TIMEOUT_S

    def check_silence(self, now: float) -> list[InFlightRequest]:
        """Return the requests in flight and lost if the server has been silent for too long.

        A request may freeze its server instead of crashing it. Without this check the request was
        retried on one server after another, and eight of them were silent after 16 s.
        """
        deadline = self.silence_deadline()
        return self._pop_all() if deadline is not None and now >= deadline else []

    def server_replaced(self) -> list[InFlightRequest]:
        """Record that a new process has replaced the server; returns the requests of the old one.

        This may happen long after the crash, if the old connections became silent.
        """
        suspects = self._pop_all()
        self.unreachable_since = None
        self.is_leaving = False
        return suspects

    def server_leaving(self) -> None:
        """Record that the server has announced that it is leaving: no request is suspected then."""
        self.is_leaving = True

    def _pop_all(self) -> list[InFlightRequest]:
        self.lost.extend(LostRequest(request, 0.0, True) for request in self.in_flight.values())
        self.in_flight.clear()
        return self._pop_lost()

    def _pop_lost(self) -> list[InFlightRequest]:
        suspects = [] if self.is_leaving else [lost.request for lost in self.lost]
        self.lost.clear()
        return suspects
