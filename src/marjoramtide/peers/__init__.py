"""Requests, responses and control questions between nodes, multiplexed over websockets."""

from marjoramtide.peers._client import PeerClient
from marjoramtide.peers._codec import report_fields, unpack_report
from marjoramtide.peers._control_channel import ControlChannel
from marjoramtide.peers._in_flight_link import InFlightLink
from marjoramtide.peers._in_flight_listener import InFlightListener
from marjoramtide.peers._peer_control import PeerControlChannel
from marjoramtide.peers._peer_probe_result import PeerProbeResult
from marjoramtide.peers._reported_request import ReportedRequest
from marjoramtide.peers._server import PeerServer

__all__ = [
    "ControlChannel",
    "InFlightLink",
    "InFlightListener",
    "PeerClient",
    "PeerControlChannel",
    "PeerProbeResult",
    "PeerServer",
    "ReportedRequest",
    "report_fields",
    "unpack_report",
]
