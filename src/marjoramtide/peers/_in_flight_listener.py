"""The interface of listeners for nodes that are lost with requests in flight."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from marjoramtide.peers._reported_request import ReportedRequest


class InFlightListener(ABC):
    """Notified when a connection breaks over which a node reported its requests in flight."""

    @abstractmethod
    def on_reporter_lost(self, node: str, requests: Sequence[ReportedRequest]) -> None:
        """Handle the loss of such a connection; ``requests`` are those in flight at the node."""
