"""Small questions between nodes, beside the requests of callers."""

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from typing import Any


class ControlChannel(ABC):
    """Asks another node one question and gets one answer, over an authenticated connection.

    It has a connection of its own for what may be large, so that a settings tree never delays a
    caller's request.
    Bodies are plain values that CBOR carries (maps, lists, strings, bytes, numbers).
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
        """Ask the node at the peer address ``IP:PORT``.

        Where question and answer are ``small``, a connection that carries requests may be used.
        Raises ``peer-lost`` where no answer came, ``peer-refused`` where the peer said no.
        """

    @abstractmethod
    def register_handler(
        self, subject: str, handler: Callable[[dict[str, Any]], Awaitable[dict[str, Any]]]
    ) -> None:
        """Register the coroutine that answers questions on ``subject``."""
