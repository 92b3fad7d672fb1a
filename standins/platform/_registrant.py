"""A backend server's calls to the node beside it."""

from typing import Any

import aiohttp
import attrs


@attrs.define(slots=True)
class Registrant:
    """Sends heartbeats and departures to a node's registration address."""

    node: str
    service: str
    address: str
    slots: int = 10
    sequence: int = 0

    async def heartbeat(
        self, instance: str, *, state: str = "ready", sequence: int | None = None
    ) -> int:
        """Send one heartbeat, in order unless ``sequence`` says otherwise; return the status."""
        if sequence is None:
            self.sequence += 1
            sequence = self.sequence
        body = {
            "Address": self.address,
            "Info": {"Service": self.service, "Version": "v1", "Zone": "z", "Slots": self.slots},
            "Status": {"State": state, "SeqNo": sequence, "ColdLeftMs": 0},
        }
        return await self.call("PUT", instance, body)

    async def leave(self, instance: str) -> int:
        """Say that this start leaves; return the status."""
        return await self.call("DELETE", instance)

    async def call(self, method: str, instance: str, body: Any = None) -> int:
        url = f"http://{self.node}/instances/{instance}"
        async with (
            aiohttp.ClientSession() as session,
            session.request(method, url, json=body) as response,
        ):
            return response.status
