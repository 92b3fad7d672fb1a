"""Registration calls of a backend server to its node."""

from typing import Any
from urllib.parse import quote

import aiohttp
import attrs
from yarl import URL


@attrs.define(slots=True)
class RegistrationClient:
    """Sends heartbeats and departures to a node's registration address.

    ``born`` is the start time of the backend server in Unix milliseconds, if it states one.
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
        """Send a heartbeat with the next sequence number, or ``sequence``; return the status."""
        return await self.call("PUT", instance, self.body(state=state, sequence=sequence))

    def body(self, *, state: str = "ready", sequence: int | None = None) -> dict[str, Any]:
        """Return the body of the next heartbeat."""
        if sequence is None:
            self.sequence += 1
            sequence = self.sequence
        return self.birth_field() | {
            "Address": self.address,
            "Info": {"Service": self.service, "Version": "v1", "Zone": "z", "Slots": self.slots},
            "Status": {"State": state, "SeqNo": sequence, "ColdLeftMs": self.cold_left_ms},
        }

    def birth_field(self) -> dict[str, Any]:
        return {} if self.born is None else {"born": self.born}

    async def leave(self, instance: str) -> int:
        """Announce the departure of this incarnation; return the status."""
        return await self.call("DELETE", instance, self.birth_field() or None)

    async def call(self, method: str, instance: str, body: Any = None) -> int:
        """Send a body as JSON, or bytes unchanged; return the status."""
        url = f"http://{self.node}/instances/{quote(instance, safe='')}"
        content = {"data": body} if isinstance(body, bytes) else {"json": body}
        async with (
            aiohttp.ClientSession() as session,
            session.request(method, URL(url, encoded=True), **content) as response,
        ):
            return response.status
