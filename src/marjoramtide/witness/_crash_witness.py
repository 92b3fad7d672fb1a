"""Reports the requests that crashed nodes had in flight for their own callers."""

from collections.abc import Sequence

from marjoramtide.ingress import PeerCrashDetector
from marjoramtide.membership import Directory
from marjoramtide.peers import InFlightListener, ReportedRequest
from marjoramtide.serving import InFlightRequest


class CrashWitness(InFlightListener):
    """Reports nodes that were lost, with the requests in flight that they had reported.

    Failure: a request crashes the node that takes it from its caller and runs it at its own server.
    No other node knows what ran there. Callers retry the request, and it crashes node after node: 7
    to 34 crashes among six nodes within 12 s.
    """

    def __init__(self, directory: Directory, crash_detector: PeerCrashDetector) -> None:
        self.directory = directory
        self.crash_detector = crash_detector

    def on_reporter_lost(self, node: str, requests: Sequence[ReportedRequest]) -> None:
        member = self.directory.find(node)
        if member is not None:
            self.crash_detector.report_lost_runs(
                member,
                [
                    InFlightRequest(request.fingerprint, "", "", request.reported_at)
                    for request in requests
                ],
            )
