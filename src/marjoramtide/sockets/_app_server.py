"""A server for one HTTP application."""

from aiohttp import web

from marjoramtide.errors import ErrorCode, MarjoramtideError

SHUTDOWN_TIMEOUT_S = 1.0


class AppServer:
    """Serves an application at one address; ``name`` is its key in the node's settings.

    For example::

        server = AppServer("operators", make_operators_app(handle))
        await server.start("10.0.0.7", 7002)
    """

    def __init__(self, name: str, app: web.Application) -> None:
        self.name = name
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S)

    async def start(self, host: str, port: int) -> None:
        """Start listening; raises ``bad-settings`` if the address can't be bound."""
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
        """Stop listening; requests in flight get ``SHUTDOWN_TIMEOUT_S`` seconds to finish."""
        await self.runner.cleanup()
