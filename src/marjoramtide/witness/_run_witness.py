"""What other nodes were running for their own callers when they ended."""

from collections.abc import Sequence

from marjoramtide.ingress import PeerCrashDetector
from marjoramtide.membership import Directory
from marjoramtide.peers import InFlightListener, ReportedRequest
from marjoramtide.serving import InFlightRequest


class CrashWitness(InFlightListener):
    """Speaks for nodes that have ended, with what they had told it.

    Failure: a request ends the node that takes it from its caller and runs it at its own server.
    Nobody else knows what that node was doing, callers send the request again, and it ends node
    after node: 7 to 34 of six within 12 s.
    """

    def __init__(self, directory: Directory, ends: PeerCrashDetector) -> None:
        self.directory = directory
        self.ends = ends

    def on_reporter_lost(self, node: str, runs: Sequence[ReportedRequest]) -> None:
        member = self.directory.find(node)
        if member is not None:
            self.ends.report_lost_runs(
                member, [InFlightRequest(run.fingerprint, "", "", run.heard_at) for run in runs]
            )
