"""The library's server for callers' connections."""

from typing import Any

from aiohttp import web

from marjoramtide.ingress._caller_connection import CallerConnection
from marjoramtide.telemetry import Metrics


class CallerServer(web.Server):
    """Makes our connections in place of the library's."""

    def __init__(self, node: str, metrics: Metrics, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.node = node
        self.metrics = metrics

    @property
    def has_unsent(self) -> bool:
        """Tell whether bytes of any answer still wait to be handed to the system."""
        transports = (connection.transport for connection in self.connections)
        return any(each is not None and each.get_write_buffer_size() > 0 for each in transports)

    def __call__(self) -> CallerConnection:
        return CallerConnection(self.node, self.metrics, self, loop=self._loop, **self._kwargs)
