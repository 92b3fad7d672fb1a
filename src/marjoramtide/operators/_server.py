"""Owns the socket on which a node listens to operators."""

from aiohttp import web

from marjoramtide.errors import ErrorCode, MarjoramtideError

SHUTDOWN_S = 1.0


class OperatorsServer:
    """Serves an operators' application at one address.

    For example::

        server = OperatorsServer(make_operators_app(handle))
        await server.start("10.0.0.7", 7002)
    """

    def __init__(self, app: web.Application) -> None:
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=SHUTDOWN_S)

    async def start(self, host: str, port: int) -> None:
        """Listen; raises ``bad-settings`` where the address can't be bound."""
        await self.runner.setup()
        try:
            await web.TCPSite(self.runner, host, port).start()
        except OSError as error:
            raise MarjoramtideError(
                ErrorCode.BAD_SETTINGS,
                f"operators: {error}",
                step="operators.start",
                peer=f"{host}:{port}",
            ) from error

    async def close(self) -> None:
        """Stop listening; commands under way get ``SHUTDOWN_S`` seconds to end."""
        await self.runner.cleanup()
