"""Drives the backend server stand-ins and asks them what they ran."""

import asyncio
from collections.abc import Sequence
from typing import Any, Self

import aiohttp

from bench.load._stand_in_report import StandInReport, stand_in_report

ADMIN_TIMEOUT_S = 10


class Backends:
    """A client of the stand-ins' own endpoints; addresses are ``IP:PORT``."""

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

    async def ask(self, address: str, method: str, path: str, body: Any = None) -> Any:
        """Return the JSON answer of one stand-in; raises ``aiohttp.ClientError``."""
        assert self.session is not None
        url = f"http://{address}/_admin/{path}"
        async with self.session.request(method, url, json=body) as response:
            return await response.json()

    async def set_faults(self, address: str, **faults: Any) -> None:
        """Change the named faults of one stand-in."""
        await self.ask(address, "POST", "faults", faults)

    async def answering(self) -> bool:
        """Tell whether all stand-ins answer."""
        try:
            await asyncio.gather(*(self.ask(each, "GET", "stats") for each in self.addresses))
        except aiohttp.ClientError:
            return False
        return True

    async def reset(self) -> None:
        """Forget executions and faults everywhere."""
        await asyncio.gather(*(self.ask(each, "POST", "reset") for each in self.addresses))

    async def reports(self) -> list[StandInReport]:
        """Return what each stand-in has run so far, in the order of the addresses."""
        answers = await asyncio.gather(*(self.ask(a, "GET", "executions") for a in self.addresses))
        return list(map(stand_in_report, self.addresses, answers))
