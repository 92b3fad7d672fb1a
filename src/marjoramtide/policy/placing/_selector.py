"""The interface of every policy that chooses a backend server."""

from abc import ABC, abstractmethod
from collections.abc import Collection

from marjoramtide.exchange import LoadReport
from marjoramtide.membership import Member
from marjoramtide.policy._call_profile import CallProfile


class Selector(ABC):
    """Chooses among the members of one service, and learns from what became of each request.

    One instance serves one service on one ingress node. ``now`` is in seconds of the monotonic
    clock; times are in milliseconds. Members are told by ``update_members`` whenever they change.
    """

    @abstractmethod
    def update_members(self, members: Collection[Member], now: float) -> None:
        """Take the members that may take work, in place of the earlier ones."""

    @abstractmethod
    def choose(
        self, profile: CallProfile, now: float, excluded: Collection[str] = ()
    ) -> str | None:
        """Return the identity of the node to ask, or ``None`` where none is left."""

    @abstractmethod
    def sent(self, node: str, now: float) -> None:
        """Note a request sent to ``node``."""

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
        """Note an answer; ``succeeded`` is false for an error of the backend server.

        ``elapsed_ms`` counts from ``sent``; ``served_ms`` is the part of it that the request spent
        at the serving node, where that is known, so that the rest is the network's. ``work_ms`` is
        how long the backend server would have taken undisturbed, 0 where that isn't known, and
        ``kind`` that of the request's profile.
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
        """Note a refusal by the serving node: the request did not run there."""

    @abstractmethod
    def lost(
        self,
        node: str,
        now: float,
        *,
        elapsed_ms: float | None = None,
        unreachable: bool = False,
    ) -> None:
        """Note that nothing will come back: the connection broke, or could not be made at all."""

    @abstractmethod
    def cancelled(self, node: str, now: float, *, elapsed_ms: float | None = None) -> None:
        """Note that this node gave a request up itself.

        The caller left, the deadline passed, or another try answered first. It says that the
        answer takes longer than ``elapsed_ms``, and nothing of success.
        """

    @abstractmethod
    def hedge_delay_ms(
        self, node: str, now: float, profile: CallProfile | None = None
    ) -> float | None:
        """Return after how long a second try of an idempotent request pays, or ``None``."""

    @abstractmethod
    def retry_after_ms(self, now: float) -> int:
        """Return when a refused caller should come back, spread over callers."""

    def reported(self, node: str, report: LoadReport, now: float) -> None:
        """Take in a load report that came beside any request."""
        return None

    def node_snapshot(self, node: str, now: float) -> dict[str, object]:
        """Return, for the log, what the choice of a node rests on."""
        return {}

    def explain(self, now: float) -> list[dict[str, object]]:
        """Return, for operators, what is believed of each member and how it scores."""
        return []
