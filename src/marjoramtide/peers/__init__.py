"""Node to node: requests, answers and small questions, multiplexed."""

from marjoramtide.peers._control_channel import ControlChannel

__all__ = ["ControlChannel"]
