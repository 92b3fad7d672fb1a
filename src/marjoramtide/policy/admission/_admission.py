"""The interface of admission at the serving node."""

from abc import ABC, abstractmethod
from enum import Enum

import attrs

from marjoramtide.exchange import LoadReport
from marjoramtide.policy._call_profile import CallProfile
from marjoramtide.policy.pace import Pace
from marjoramtide.settings import RouteSettings


class Verdict(Enum):
    """What becomes of a request on arrival."""

    START = "start"
    QUEUE = "queue"
    REJECT = "reject"


@attrs.frozen(slots=True)
class Decision:
    """A verdict, and for a rejection the reason (an error code) and when to come back."""

    verdict: Verdict
    reason: str = ""
    retry_after_ms: int = 0


class Admission(ABC):
    """Admits, queues or rejects requests for one backend server.

    A request is known by an integer ticket that the caller of these methods makes up. The object
    holds no timer: whoever owns it calls ``expire`` at ``next_expiry``, which any other call may
    move to an earlier time. Times are in seconds of the monotonic clock, durations in milliseconds.
    """

    @abstractmethod
    def set_accepting(self, accepting: bool) -> None:
        """Reject every new request as ``draining`` from now on, or take requests again.

        What is queued or started stays: a planned stop cuts off nothing that was taken.
        """

    @abstractmethod
    def set_pace(self, pace: Pace) -> None:
        """Take in how much longer work takes now; ``resume`` tells what may start by it.

        Durations that ``finished`` is given are then those of undisturbed work.
        """

    @abstractmethod
    def set_cold_time(self, left_s: float, now: float) -> None:
        """Take in for how much longer the backend server is cold, in seconds; 0 where it isn't.

        ``resume`` tells what may start by it.
        """

    @abstractmethod
    def set_rate_limit(self, rate_per_s: float | None, since: float, now: float) -> None:
        """Take in how many requests a second the backend server takes, ``None`` for no limit.

        ``since`` is when it first named a limit or when that last fell. ``resume`` tells what may
        start by it.
        """

    @abstractmethod
    def resume(self, now: float) -> list[int]:
        """Return the queued tickets that start now, since the pace has changed or nobody tells."""

    @abstractmethod
    def clear_queue(self) -> list[int]:
        """Drop and return all queued tickets: they have not run and may go elsewhere."""

    @abstractmethod
    def server_replaced(self, now: float) -> list[int]:
        """Go on with a server of which nothing is known, none of whose slots are in use.

        What is queued stays; the queued tickets that start now are returned. What ``finished`` and
        ``withdraw`` still tell of tickets that ran on the former one is passed over.
        """

    @abstractmethod
    def reconfigure(self, settings: RouteSettings) -> None:
        """Go on by changed settings; what is queued or started stays."""

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
        lacked_calls: bool = False,
    ) -> list[int]:
        """Free the ticket's slot and return the queued tickets that start now."""

    @abstractmethod
    def withdraw(self, ticket: int, now: float) -> list[int]:
        """Forget a ticket that was cancelled, queued or started; return those that start now."""

    @abstractmethod
    def expire(self, now: float) -> list[int]:
        """Drop and return the queued tickets that can no longer finish in time."""

    @abstractmethod
    def next_expiry(self) -> float | None:
        """Return when ``expire`` next has something to do."""

    @abstractmethod
    def retry_after_ms(self, now: float) -> int:
        """Return when a request that is refused now would probably be taken, in milliseconds."""

    def workspaces_over_share(self, now: float) -> frozenset[str]:
        """Return the workspaces that have had their share of a server that is short."""
        return frozenset()

    @abstractmethod
    def report(self, now: float) -> LoadReport:
        """Return the load at this moment."""
