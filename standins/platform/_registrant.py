"""A backend server's calls to the node beside it."""

from typing import Any
from urllib.parse import quote

import aiohttp
import attrs
from yarl import URL


@attrs.define(slots=True)
class RegistrationClient:
    """Sends heartbeats and departures to a node's registration address.

    ``born`` is the Unix millisecond of the backend server's start, where it tells that.
    """

    node: str
    service: str
    address: str
    slots: int = 10
    sequence: int = 0
    born: int | None = None
    cold_left_ms: int = 0

    async def heartbeat(
        self, instance: str, *, state: str = "ready", sequence: int | None = None
    ) -> int:
        """Send one heartbeat, in order unless ``sequence`` says otherwise; return the status."""
        return await self.call("PUT", instance, self.body(state=state, sequence=sequence))

    def body(self, *, state: str = "ready", sequence: int | None = None) -> dict[str, Any]:
        """Return what the next heartbeat holds."""
        if sequence is None:
            self.sequence += 1
            sequence = self.sequence
        return self.own_start() | {
            "Address": self.address,
            "Info": {"Service": self.service, "Version": "v1", "Zone": "z", "Slots": self.slots},
            "Status": {"State": state, "SeqNo": sequence, "ColdLeftMs": self.cold_left_ms},
        }

    def own_start(self) -> dict[str, Any]:
        return {} if self.born is None else {"born": self.born}

    async def leave(self, instance: str) -> int:
        """Say that this start leaves; return the status."""
        return await self.call("DELETE", instance, self.own_start() or None)

    async def call(self, method: str, instance: str, body: Any = None) -> int:
        """Send a body as JSON, or bytes as they are; return the status."""
        url = f"http://{self.node}/instances/{quote(instance, safe='')}"
        content = {"data": body} if isinstance(body, bytes) else {"json": body}
        async with (
            aiohttp.ClientSession() as session,
            session.request(method, URL(url, encoded=True), **content) as response,
        ):
            return response.status
