"""Client of the admin endpoints of backend server stand-ins."""

import asyncio
from collections.abc import Sequence
from typing import Any, Self

import aiohttp

from bench.load._stand_in_report import StandInReport, stand_in_report

ADMIN_TIMEOUT_S = 10


class Backends:
    """Controls a group of stand-ins; addresses are ``IP:PORT``."""

    def __init__(self, addresses: Sequence[str]) -> None:
        self.addresses = list(addresses)
        self.session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Self:
        timeout = aiohttp.ClientTimeout(total=ADMIN_TIMEOUT_S)
        self.session = aiohttp.ClientSession(timeout=timeout, raise_for_status=True)
        return self

    async def __aexit__(self, *_: object) -> None:
        if self.session is not None:
            await self.session.close()

    async def call_admin(self, address: str, method: str, path: str, body: Any = None) -> Any:
        """Return the JSON response of one stand-in; raises ``aiohttp.ClientError``."""
        assert self.session is not None
        url = f"http://{address}/_admin/{path}"
        async with self.session.request(method, url, json=body) as response:
            return await response.json()

    async def set_faults(self, address: str, **faults: Any) -> None:
        """Change the named faults of one stand-in."""
        await self.call_admin(address, "POST", "faults", faults)

    async def are_responding(self) -> bool:
        """Tell whether all stand-ins respond."""
        try:
            await asyncio.gather(
                *(self.call_admin(address, "GET", "stats") for address in self.addresses)
            )
        except aiohttp.ClientError:
            return False
        return True

    async def reset(self) -> None:
        """Clear the executions and faults of all stand-ins."""
        await asyncio.gather(
            *(self.call_admin(address, "POST", "reset") for address in self.addresses)
        )

    async def reports(self) -> list[StandInReport]:
        """Return the executions of each stand-in so far, in the order of the addresses."""
        raw_reports = await asyncio.gather(
            *(self.call_admin(address, "GET", "executions") for address in self.addresses)
        )
        return list(map(stand_in_report, self.addresses, raw_reports))
