"""Owns the socket on which a node serves one HTTP application."""

from aiohttp import web

from marjoramtide.errors import ErrorCode, MarjoramtideError

SHUTDOWN_S = 1.0


class AppServer:
    """Serves an application at one address; ``name`` is that of its key in the node's settings.

    For example::

        server = AppServer("operators", make_operators_app(handle))
        await server.start("10.0.0.7", 7002)
    """

    def __init__(self, name: str, app: web.Application) -> None:
        self.name = name
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=SHUTDOWN_S)

    async def start(self, host: str, port: int) -> None:
        """Listen; raises ``bad-settings`` where the address can't be bound."""
        await self.runner.setup()
        try:
            await web.TCPSite(self.runner, host, port).start()
        except OSError as error:
            raise MarjoramtideError(
                ErrorCode.BAD_SETTINGS,
                f"{self.name}: {error}",
                step=f"{self.name}.start",
                peer=f"{host}:{port}",
            ) from error

    async def close(self) -> None:
        """Stop listening; calls under way get ``SHUTDOWN_S`` seconds to end."""
        await self.runner.cleanup()
