"""aiohttp's server, set up for callers' connections."""

import resource
import sys
from collections.abc import Mapping
from typing import Any, cast

from aiohttp import web

from marjoramtide.ingress._caller_connection import CallerConnection
from marjoramtide.ingress._caller_protocol import CallerProtocol
from marjoramtide.settings import DEFAULTS
from marjoramtide.telemetry import Metrics

# Even a caller with a slow connection reads the 48 kB between aiohttp's water marks in this time.
STALL_TIMEOUT_S = 30.0

# Of the process's file descriptors; the rest is for peers, the backend server and the store.
CALLERS_SHARE = 0.5


def max_connections() -> int:
    """Return how many connections of callers this process may have open at once."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return sys.maxsize
    return max(1, int(descriptors * CALLERS_SHARE))


class CallerServer(web.Server):
    """Creates ``CallerConnection`` objects in place of aiohttp's own."""

    def __init__(
        self, node: str, protocol: CallerProtocol, metrics: Metrics, *args: Any, **kwargs: Any
    ) -> None:
        super().__init__(*args, **kwargs)
        self.node = node
        self.protocol = protocol
        self.metrics = metrics
        self.head_timeout_s = DEFAULTS["head_timeout_ms"] / 1000
        self.stall_timeout_s = STALL_TIMEOUT_S
        self.max_connections = max_connections()

    def configure(self, values: Mapping[str, Any]) -> None:
        """Apply changed settings; the line limits only affect new connections."""
        self.head_timeout_s = values["head_timeout_ms"] / 1000
        idle_timeout_s = values["idle_timeout_ms"] / 1000
        self._kwargs["keepalive_timeout"] = idle_timeout_s
        self._kwargs["max_line_size"] = values["max_line_bytes"]
        self._kwargs["max_field_size"] = values["max_line_bytes"]
        for connection in cast(list[CallerConnection], self.connections):
            connection.configure(self.head_timeout_s, idle_timeout_s)

    @property
    def has_unsent(self) -> bool:
        """Return whether any response still has bytes that were not written to its socket."""
        # Looked up in aiohttp's own table: a connection that is being closed has no reference to
        # its transport any more, although the transport goes on sending what is buffered.
        return any(each.get_write_buffer_size() > 0 for each in self._connections.values())

    def __call__(self) -> CallerConnection:
        return CallerConnection(
            self.node,
            self.protocol,
            self.metrics,
            self.head_timeout_s,
            self.stall_timeout_s,
            self.max_connections,
            self,
            loop=self._loop,
            **self._kwargs,
        )
