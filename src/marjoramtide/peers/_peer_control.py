"""Control questions over the connections between nodes."""

from typing import Any

from marjoramtide.peers._client import PeerClient
from marjoramtide.peers._control_channel import ControlChannel
from marjoramtide.peers._server import PeerServer
from marjoramtide.peers._session import QuestionHandler


class PeerControlChannel(ControlChannel):
    """Asks through the peer client and registers handlers at the peer server."""

    def __init__(self, client: PeerClient, server: PeerServer) -> None:
        self.client = client
        self.server = server

    async def ask(
        self,
        address: str,
        subject: str,
        body: dict[str, Any],
        *,
        timeout: float = 2.0,
        small: bool = False,
    ) -> dict[str, Any]:
        return await self.client.ask(address, subject, body, timeout, small)

    def register_handler(self, subject: str, handler: QuestionHandler) -> None:
        self.server.questions[subject] = handler
