"""Simulated links between nodes."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from marjoramtide.errors import ErrorCode
from marjoramtide.exchange import NotRunError, Request, RequestBody, Response, UnknownOutcomeError

if TYPE_CHECKING:
    from bench.model._model_node import ModelNode

STEP = "model.peers"


class ModelPeers:
    """Sends requests to other nodes; ``find_node`` returns the node at an address, if any."""

    def __init__(
        self, find_node: Callable[[str], "ModelNode | None"], latency_s: Callable[[str], float]
    ) -> None:
        self.find_node = find_node
        self.latency_s = latency_s

    async def request(self, address: str, request: Request, body: RequestBody) -> Response:
        """Return the response; raises ``NotRunError`` or ``UnknownOutcomeError``."""
        latency_s = self.latency_s(address)
        await asyncio.sleep(latency_s)
        node = self.find_node(address)
        if node is None:
            await asyncio.sleep(latency_s)
            raise NotRunError(
                ErrorCode.CONNECT_FAILED, "connection refused", step=STEP, peer=address
            )
        task = asyncio.ensure_future(node.serving.handle(request, body))
        node.served_tasks.add(task)
        task.add_done_callback(node.served_tasks.discard)
        try:
            return await task
        except asyncio.CancelledError:
            task.cancel()
            if node.is_up:
                raise
            raise UnknownOutcomeError(
                ErrorCode.PEER_LOST, "connection lost", step=STEP, peer=address
            ) from None
        finally:
            await asyncio.sleep(latency_s)
