"""Which requests a backend server was running when it ended."""

from collections import deque

from marjoramtide.serving._run import LostRun, Run

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


class EndWatch:
    """Follows the runs of one backend server, and tells whom its end may be put down to.

    A lost connection says little: a sound server may reset it, and so may the way there. A server
    has ended where nobody listens at its address any more (``refused``), where another start has
    taken its place (``replaced``), or where it is ``silent``. Until one of
    these is known, lost runs are kept, and each sign of life that was asked for after a loss
    clears it. A server that ``leaves`` as planned ends of itself.

    Times are in seconds of the monotonic clock. For example::

        watch.began(7, run)
        watch.unanswered(7, broken=True, now=12.0)
        suspects = watch.refused(12.1)
    """

    def __init__(self) -> None:
        self.open: dict[int, Run] = {}
        self.lost: deque[LostRun] = deque(maxlen=MAX_LOST)
        self.gone_at: float | None = None
        self.heard_at = float("-inf")
        self.unread_at = float("-inf")
        self.leaving = False

    def began(self, ticket: int, run: Run) -> None:
        """Note that a byte of a request may have reached the backend server."""
        self.open[ticket] = run

    def answered(self, ticket: int, now: float) -> None:
        """Note a whole answer, which is a sign of life as well."""
        run = self.open.pop(ticket, None)
        if run is not None:
            self.alive(run.started, now)

    def unanswered(self, ticket: int, *, broken: bool, now: float) -> list[Run]:
        """Note the end of a run without an answer; return it where its server is known to be gone.

        The connections to a server that ends break one after another, and the first of the requests
        that follow may find that nobody listens before the last of them has.
        """
        run = self.open.pop(ticket, None)
        if run is None:
            return []
        self.lost.append(LostRun(run, now, broken))
        return self._take_lost() if broken and self.gone_at is not None else []

    def alive(self, asked_at: float, now: float) -> None:
        """Note that the backend server has answered now what it was asked at ``asked_at``."""
        self.heard_at = now
        if self.gone_at is not None and asked_at > self.gone_at:
            self.gone_at = None
        kept = [
            lost
            for lost in self.lost
            if asked_at <= lost.lost_at + (0.0 if lost.broken else WORKS_ON_S)
        ]
        if len(kept) < len(self.lost):
            self.lost = deque(kept, maxlen=MAX_LOST)

    def refused(self, now: float) -> list[Run]:
        """Note that nobody listens at the server's address; return the runs that it has lost."""
        if self.gone_at is None:
            self.gone_at = now
        return self._take_lost()

    def unread(self, now: float) -> None:
        """Note that the server's endpoint has not answered in time."""
        self.unread_at = now

    def silent_at(self) -> float | None:
        """Return when a server whose endpoint does not answer has been silent for long enough.

        ``None`` where it runs nothing, or has been heard of since.
        """
        begun = [run.started for run in self.open.values()]
        begun += [lost.run.started for lost in self.lost]
        if not begun or self.unread_at <= self.heard_at:
            return None
        return max(self.heard_at, min(begun)) + SILENT_S

    def silent(self, now: float) -> list[Run]:
        """Return what the server runs, or has lost, where it is silent.

        Failure: a request freezes the server that runs it. Nobody tells of an end, and the request
        goes on to the next server: eight were silent after 16 s.
        """
        silent_at = self.silent_at()
        return self._take_all() if silent_at is not None and now >= silent_at else []

    def replaced(self) -> list[Run]:
        """Note that another start has taken the server's place; return what the former one ran.

        That may be long after its end, where its connections have fallen silent.
        """
        suspects = self._take_all()
        self.gone_at = None
        self.leaving = False
        return suspects

    def leaves(self) -> None:
        """Note that this start has said that it leaves, so that its end is nobody's doing."""
        self.leaving = True

    def _take_all(self) -> list[Run]:
        self.lost.extend(LostRun(run, 0.0, True) for run in self.open.values())
        self.open.clear()
        return self._take_lost()

    def _take_lost(self) -> list[Run]:
        suspects = [] if self.leaving else [lost.run for lost in self.lost]
        self.lost.clear()
        return suspects
