"""The ways between the nodes of a played fleet."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from marjoramtide.errors import ErrorCode
from marjoramtide.exchange import NotRunError, Request, RequestBody, Response, UnknownOutcomeError

if TYPE_CHECKING:
    from bench.model._model_node import ModelNode

STEP = "model.peers"


class ModelPeers:
    """Has another node serve a request; ``find`` returns who answers at an address, if anyone."""

    def __init__(
        self, find: Callable[[str], "ModelNode | None"], way_s: Callable[[str], float]
    ) -> None:
        self.find = find
        self.way_s = way_s

    async def request(self, address: str, request: Request, body: RequestBody) -> Response:
        """Return the answer; raises ``NotRunError`` or ``UnknownOutcomeError``."""
        way_s = self.way_s(address)
        await asyncio.sleep(way_s)
        node = self.find(address)
        if node is None:
            await asyncio.sleep(way_s)
            raise NotRunError(ErrorCode.CONNECT_FAILED, "nobody listens", step=STEP, peer=address)
        task = asyncio.ensure_future(node.serving.handle(request, body))
        node.served.add(task)
        task.add_done_callback(node.served.discard)
        try:
            return await task
        except asyncio.CancelledError:
            task.cancel()
            if node.is_up:
                raise
            raise UnknownOutcomeError(
                ErrorCode.PEER_LOST, "the connection broke", step=STEP, peer=address
            ) from None
        finally:
            await asyncio.sleep(way_s)
