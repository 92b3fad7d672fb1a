"""Node to node: requests, answers and small questions, multiplexed."""

from marjoramtide.peers._client import PeerClient
from marjoramtide.peers._codec import report_fields, unpack_report
from marjoramtide.peers._control_channel import ControlChannel
from marjoramtide.peers._peer_control import PeerControlChannel
from marjoramtide.peers._peer_sign import PeerSign
from marjoramtide.peers._server import PeerServer

__all__ = [
    "ControlChannel",
    "PeerClient",
    "PeerControlChannel",
    "PeerServer",
    "PeerSign",
    "report_fields",
    "unpack_report",
]
