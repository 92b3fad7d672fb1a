"""The interface of the selection policies."""

from abc import ABC, abstractmethod
from collections.abc import Collection

from marjoramtide.exchange import LoadReport
from marjoramtide.membership import Member
from marjoramtide.policy._call_profile import CallProfile


class Selector(ABC):
    """Chooses among the members of one service, and learns from the outcome of each request.

    There is one selector for each service on each ingress node. ``now`` is in seconds of the
    monotonic clock. ``update_members`` is called whenever the members change.
    """

    @abstractmethod
    def update_members(self, members: Collection[Member], now: float) -> None:
        """Replace the members that may be sent requests."""

    @abstractmethod
    def choose(
        self, profile: CallProfile, now: float, excluded: Collection[str] = ()
    ) -> str | None:
        """Return the identity of the node to send to, or ``None`` if there is none."""

    @abstractmethod
    def sent(self, node: str, now: float) -> None:
        """Record that a request was sent to ``node``."""

    @abstractmethod
    def answered(
        self,
        node: str,
        report: LoadReport | None,
        elapsed_ms: float,
        succeeded: bool,
        now: float,
        *,
        served_ms: float | None = None,
        kind: str = "",
        work_ms: float = 0.0,
    ) -> None:
        """Record a response; ``succeeded`` is false for an error of the backend server.

        ``elapsed_ms`` counts from ``sent``; ``served_ms`` is the part of it that the request spent
        at the serving node, ``None`` if unknown; the rest is network time. ``work_ms`` is how long
        the backend server would have taken without interference by its neighbours, 0 if unknown,
        and ``kind`` is that of the request's profile.
        """

    @abstractmethod
    def rejected(
        self,
        node: str,
        report: LoadReport | None,
        retry_after_ms: int,
        now: float,
        *,
        elapsed_ms: float | None = None,
    ) -> None:
        """Record a rejection by the serving node: the request did not run there."""

    @abstractmethod
    def lost(
        self,
        node: str,
        now: float,
        *,
        elapsed_ms: float | None = None,
        unreachable: bool = False,
    ) -> None:
        """Record that no response will arrive: the connection failed or could not be opened."""

    @abstractmethod
    def cancelled(self, node: str, now: float, *, elapsed_ms: float | None = None) -> None:
        """Record that this node cancelled a request itself.

        The caller disconnected, the deadline passed, or another attempt was answered first. This
        shows that the response takes longer than ``elapsed_ms``, and nothing about success.
        """

    @abstractmethod
    def hedge_delay_ms(
        self, node: str, now: float, profile: CallProfile | None = None
    ) -> float | None:
        """Return the delay before a hedged attempt of an idempotent request, or ``None``."""

    @abstractmethod
    def retry_after_ms(self, now: float) -> int:
        """Return the delay that a rejected caller is given, spread over the callers."""

    def reported(self, node: str, report: LoadReport, now: float) -> None:
        """Record a load report that arrived in a bulletin, not with a response."""
        return None

    def node_snapshot(self, node: str, now: float) -> dict[str, object]:
        """Return what is known of a node, for the log of a decision."""
        return {}

    def explain(self, now: float) -> list[dict[str, object]]:
        """Return, for operators, what is known of each member and its score."""
        return []
