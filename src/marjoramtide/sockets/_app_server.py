"""A server for one HTTP application."""

from typing import Any

from aiohttp import web

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.sockets._bounded_server import BoundedServer
from marjoramtide.sockets._listening_socket import open_listening_socket
from marjoramtide.sockets._memory_shares import ConnectionLimits

SHUTDOWN_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 75.0
# Connections taken at once, before any of them can be refused.
ACCEPTS_AT_ONCE = 8
BACKLOG = 128


class BoundedAppRunner(web.AppRunner):
    """Runs an application on a ``BoundedServer``."""

    def __init__(self, name: str, limits: ConnectionLimits, app: web.Application) -> None:
        super().__init__(app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        self.name = name
        self.limits = limits

    async def _make_server(self) -> web.Server:
        server = await super()._make_server()
        options: dict[str, Any] = server._kwargs | {"keepalive_timeout": IDLE_TIMEOUT_S}
        return BoundedServer(
            self.name,
            self.limits,
            server.request_handler,
            request_factory=server.request_factory,
            **options,
        )


class AppServer:
    """Serves an application at one address; ``name`` is its key in the node's settings.

    For example::

        limits = memory_shares(300).other_port()
        server = AppServer("operators", make_operators_app(handle), limits)
        await server.start("10.0.0.7", 7002)
    """

    def __init__(self, name: str, app: web.Application, limits: ConnectionLimits) -> None:
        self.name = name
        self.limits = limits
        self.runner = BoundedAppRunner(name, limits, app)

    async def start(self, host: str, port: int) -> None:
        """Start listening; raises ``bad-settings`` if the address can't be bound."""
        await self.runner.setup()
        try:
            listener = open_listening_socket(host, port, self.limits.receive_bytes)
            await web.SockSite(self.runner, listener, backlog=ACCEPTS_AT_ONCE).start()
            listener.listen(BACKLOG)
        except OSError as error:
            raise MarjoramtideError(
                ErrorCode.BAD_SETTINGS,
                f"{self.name}: {error}",
                step=f"{self.name}.start",
                peer=f"{host}:{port}",
            ) from error

    async def close(self) -> None:
        """Stop listening; requests in flight get ``SHUTDOWN_TIMEOUT_S`` seconds to finish."""
        await self.runner.cleanup()
