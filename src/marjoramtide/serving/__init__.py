"""The serving side of a node: the only door to its own backend server."""

from marjoramtide.serving._aiohttp_transport import AiohttpTransport
from marjoramtide.serving._backend_transport import BackendTransport
from marjoramtide.serving._service import ServingService

__all__ = ["AiohttpTransport", "BackendTransport", "ServingService"]
