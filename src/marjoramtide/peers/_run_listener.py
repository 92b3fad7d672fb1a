"""Who is told what other nodes run for their own callers."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from marjoramtide.peers._told_run import ReportedRequest


class InFlightListener(ABC):
    """Takes in what became of the connections by which nodes tell of their runs."""

    @abstractmethod
    def on_reporter_lost(self, node: str, runs: Sequence[ReportedRequest]) -> None:
        """Note that such a connection broke, and what its node was running then."""
