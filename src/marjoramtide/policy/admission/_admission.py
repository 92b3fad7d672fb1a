"""The interface of admission control at the serving node."""

from abc import ABC, abstractmethod
from enum import Enum

import attrs

from marjoramtide.exchange import LoadReport
from marjoramtide.policy._call_profile import CallProfile
from marjoramtide.policy.pace import Pace
from marjoramtide.settings import RouteSettings


class Verdict(Enum):
    """What happens to a request on arrival."""

    START = "start"
    QUEUE = "queue"
    REJECT = "reject"


@attrs.frozen(slots=True)
class Decision:
    """A verdict and, for a rejection, the reason (an error code) and the retry delay."""

    verdict: Verdict
    reason: str = ""
    retry_after_ms: int = 0


class Admission(ABC):
    """Admits, queues or rejects requests for one backend server.

    A request is identified by an integer ticket that the caller of these methods chooses. The
    object has no timer: its owner calls ``expire`` at ``next_expiry``, which any other call may
    move to an earlier time. Times are in seconds of the monotonic clock, durations in milliseconds.
    """

    @abstractmethod
    def set_accepting(self, accepting: bool) -> None:
        """Reject every new request as ``draining`` from now on, or accept requests again.

        Queued and running requests stay: a planned stop drops nothing that was accepted.
        """

    @abstractmethod
    def set_pace(self, pace: Pace) -> None:
        """Set the server's current slowdown; ``resume`` then returns what may start.

        From then on, durations passed to ``finished`` are those of undisturbed work.
        """

    @abstractmethod
    def set_cold_time(self, left_s: float, now: float) -> None:
        """Set for how many more seconds the backend server is cold; 0 if it is warm.

        ``resume`` then returns what may start.
        """

    @abstractmethod
    def set_rate_limit(self, rate_per_s: float | None, since: float, now: float) -> None:
        """Set the rate limit that the backend server has requested, ``None`` for no limit.

        ``since`` is when it first requested a limit or last lowered it. ``resume`` then returns
        what may start.
        """

    @abstractmethod
    def resume(self, now: float) -> list[int]:
        """Return the queued tickets that start now, after a change of slowdown or rate limits."""

    @abstractmethod
    def clear_queue(self) -> list[int]:
        """Drop and return all queued tickets: they have not run and may be sent elsewhere."""

    @abstractmethod
    def server_replaced(self, now: float) -> list[int]:
        """Reset to a new server process that has learned nothing and has all slots free.

        The queue stays; the queued tickets that start now are returned. Later calls of ``finished``
        and ``withdraw`` for tickets that ran on the previous process are ignored.
        """

    @abstractmethod
    def reconfigure(self, settings: RouteSettings) -> None:
        """Apply changed settings; queued and running requests stay."""

    @abstractmethod
    def offer(self, ticket: int, profile: CallProfile, now: float) -> Decision:
        """Decide on a new request."""

    @abstractmethod
    def finished(
        self,
        ticket: int,
        now: float,
        duration_ms: float,
        succeeded: bool,
        calls_refused: bool = False,
    ) -> list[int]:
        """Free the ticket's slot and return the queued tickets that start now.

        ``calls_refused`` is true if a nested call of the request was refused.
        """

    @abstractmethod
    def withdraw(self, ticket: int, now: float) -> list[int]:
        """Remove a cancelled ticket, queued or running; return the tickets that start now."""

    @abstractmethod
    def expire(self, now: float) -> list[int]:
        """Drop and return the queued tickets that can no longer finish in time."""

    @abstractmethod
    def next_expiry(self) -> float | None:
        """Return when ``expire`` next has something to do."""

    @abstractmethod
    def retry_after_ms(self, now: float) -> int:
        """Return in how many milliseconds a request rejected now would probably be accepted."""

    def workspaces_over_share(self, now: float) -> frozenset[str]:
        """Return the workspaces that have used up their fair share of an overloaded server."""
        return frozenset()

    @abstractmethod
    def report(self, now: float) -> LoadReport:
        """Return the current load."""
