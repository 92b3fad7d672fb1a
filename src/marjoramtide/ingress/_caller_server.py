"""aiohttp's server, set up for callers' connections."""

from collections.abc import Mapping
from typing import Any, cast

from marjoramtide.ingress._caller_connection import CallerConnection
from marjoramtide.ingress._caller_protocol import CallerProtocol
from marjoramtide.settings import DEFAULTS
from marjoramtide.sockets import BoundedConnection, BoundedServer, ConnectionLimits
from marjoramtide.telemetry import Metrics

# Even a caller with a slow connection reads the 48 kB between aiohttp's water marks in this time.
STALL_TIMEOUT_S = 30.0

# A caller that has waited less than this for its own input keeps its connection when there are too
# many.
MIN_WAIT_S = 1.0
# Separators of header lines, and an empty line before the request, which don't count as the head.
HEAD_SLACK_BYTES = 1024


class CallerServer(BoundedServer):
    """Creates ``CallerConnection`` objects in place of aiohttp's own."""

    def __init__(
        self,
        node: str,
        protocol: CallerProtocol,
        metrics: Metrics,
        limits: ConnectionLimits,
        *args: Any,
        **kwargs: Any,
    ) -> None:
        super().__init__("ingress", limits, *args, min_wait_s=MIN_WAIT_S, **kwargs)
        self.node = node
        self.protocol = protocol
        self.metrics = metrics
        self.head_timeout_s = DEFAULTS["head_timeout_ms"] / 1000
        self.stall_timeout_s = STALL_TIMEOUT_S

    def configure(self, values: Mapping[str, Any]) -> None:
        """Apply changed settings; the line limits only affect new connections."""
        self.head_timeout_s = values["head_timeout_ms"] / 1000
        self.max_head_bytes = values["max_head_bytes"] + HEAD_SLACK_BYTES
        idle_timeout_s = values["idle_timeout_ms"] / 1000
        self._kwargs["keepalive_timeout"] = idle_timeout_s
        self._kwargs["max_line_size"] = values["max_line_bytes"]
        self._kwargs["max_field_size"] = values["max_line_bytes"]
        for connection in cast(list[CallerConnection], self.connections):
            connection.configure(self.head_timeout_s, idle_timeout_s)

    def is_out_of_memory(self) -> bool:
        """Return whether callers' connections hold too much, after those that wait were closed."""
        return self.account.is_full and self.account.recheck(self._loop.time())

    @property
    def has_unsent(self) -> bool:
        """Return whether any response still has bytes that were not written to its socket."""
        # Looked up in aiohttp's own table: a connection that is being closed has no reference to
        # its transport any more, although the transport goes on sending what is buffered.
        return any(each.get_write_buffer_size() > 0 for each in self._connections.values())

    def refuse_connection(self, connection: BoundedConnection) -> None:
        """Refuse a new connection with a response, since there are too many."""
        cast(CallerConnection, connection).refuse_connection()

    def __call__(self) -> CallerConnection:
        return CallerConnection(
            self.node,
            self.protocol,
            self.metrics,
            self.head_timeout_s,
            self.stall_timeout_s,
            self,
            loop=self._loop,
            **self._kwargs,
        )
