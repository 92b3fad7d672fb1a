"""The interface for control questions between nodes, apart from callers' requests."""

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from typing import Any


class ControlChannel(ABC):
    """Sends questions to other nodes and answers theirs, over authenticated connections.

    Questions that may be large have a connection of their own, so that a settings tree never delays
    a caller's request. Bodies are plain values that CBOR can encode (maps, lists, strings, bytes,
    numbers).
    """

    @abstractmethod
    async def ask(
        self,
        address: str,
        subject: str,
        body: dict[str, Any],
        *,
        timeout: float = 2.0,
        small: bool = False,
    ) -> dict[str, Any]:
        """Ask the node at the peer address ``IP:PORT`` and return its reply.

        With ``small``, which says that question and reply are small, a connection that carries
        requests may be used. Raises ``peer-lost`` if there is no reply, ``peer-refused`` if the
        peer replies with an error.
        """

    @abstractmethod
    def register_handler(
        self, subject: str, handler: Callable[[dict[str, Any]], Awaitable[dict[str, Any]]]
    ) -> None:
        """Register the coroutine function that answers questions on ``subject``."""
