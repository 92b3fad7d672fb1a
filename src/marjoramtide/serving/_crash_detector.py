"""Which requests a backend server was running when it ended."""

from collections import deque

from marjoramtide.serving._in_flight_request import InFlightRequest, LostRequest

# Lost runs of which it isn't known yet whether their server has ended. More than a server runs at
# once; a health endpoint that answers empties the list many times a second.
MAX_LOST = 256
# For how long after this node has closed a run's connection the backend server may still be at work
# on it, in seconds. Servers drop such work, or end it at the deadline, which is seldom further off.
WORKS_ON_S = 1.0
# For how long a server that runs something must not be heard of until it is taken for ended, though
# it takes connections, in seconds. Longer than garbage collectors and busy hosts pause a server,
# and two looks at a health endpoint that wait for their answer a second each.
SILENT_S = 2.0


class CrashDetector:
    """Follows the runs of one backend server, and tells whom its end may be put down to.

    A lost connection says little: a sound server may reset it, and so may the way there. A server
    has ended where nobody listens at its address any more (``refused``), where another start has
    taken its place (``replaced``), or where it is ``silent``. Until one of
    these is known, lost runs are kept, and each sign of life that was asked for after a loss
    clears it. A server that ``leaves`` as planned ends of itself.

    Times are in seconds of the monotonic clock. For example::

        detector.request_started(7, run)
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

    def request_started(self, ticket: int, run: InFlightRequest) -> None:
        """Note that a byte of a request may have reached the backend server."""
        self.in_flight[ticket] = run

    def request_completed(self, ticket: int, now: float) -> None:
        """Note a whole answer, which is a sign of life as well."""
        run = self.in_flight.pop(ticket, None)
        if run is not None:
            self.note_response(run.started_at, now)

    def request_lost(self, ticket: int, *, by_server: bool, now: float) -> list[InFlightRequest]:
        """Note the end of a run without an answer; return it where its server is known to be gone.

        The connections to a server that ends break one after another, and the first of the requests
        that follow may find that nobody listens before the last of them has.
        """
        run = self.in_flight.pop(ticket, None)
        if run is None:
            return []
        self.lost.append(LostRequest(run, now, by_server))
        return self._pop_lost() if by_server and self.unreachable_since is not None else []

    def note_response(self, asked_at: float, now: float) -> None:
        """Note that the backend server has answered now what it was asked at ``asked_at``."""
        self.last_response_at = now
        if self.unreachable_since is not None and asked_at > self.unreachable_since:
            self.unreachable_since = None
        kept = [
            lost
            for lost in self.lost
            if asked_at <= lost.lost_at + (0.0 if lost.by_server else WORKS_ON_S)
        ]
        if len(kept) < len(self.lost):
            self.lost = deque(kept, maxlen=MAX_LOST)

    def connection_refused(self, now: float) -> list[InFlightRequest]:
        """Note that nobody listens at the server's address; return the runs that it has lost."""
        if self.unreachable_since is None:
            self.unreachable_since = now
        return self._pop_lost()

    def health_check_failed(self, now: float) -> None:
        """Note that the server's endpoint has not answered in time."""
        self.last_failed_check_at = now

    def silence_deadline(self) -> float | None:
        """Return when a server whose endpoint does not answer has been silent for long enough.

        ``None`` where it runs nothing, or has been heard of since.
        """
        begun = [run.started_at for run in self.in_flight.values()]
        begun += [lost.run.started_at for lost in self.lost]
        if not begun or self.last_failed_check_at <= self.last_response_at:
            return None
        return max(self.last_response_at, min(begun)) + SILENT_S

    def check_silence(self, now: float) -> list[InFlightRequest]:
        """Return what the server runs, or has lost, where it is silent.

        Failure: a request freezes the server that runs it. Nobody tells of an end, and the request
        goes on to the next server: eight were silent after 16 s.
        """
        deadline = self.silence_deadline()
        return self._pop_all() if deadline is not None and now >= deadline else []

    def server_replaced(self) -> list[InFlightRequest]:
        """Note that another start has taken the server's place; return what the former one ran.

        That may be long after its end, where its connections have fallen silent.
        """
        suspects = self._pop_all()
        self.unreachable_since = None
        self.is_leaving = False
        return suspects

    def server_leaving(self) -> None:
        """Note that this start has said that it leaves, so that its end is nobody's doing."""
        self.is_leaving = True

    def _pop_all(self) -> list[InFlightRequest]:
        self.lost.extend(LostRequest(run, 0.0, True) for run in self.in_flight.values())
        self.in_flight.clear()
        return self._pop_lost()

    def _pop_lost(self) -> list[InFlightRequest]:
        suspects = [] if self.is_leaving else [lost.run for lost in self.lost]
        self.lost.clear()
        return suspects
