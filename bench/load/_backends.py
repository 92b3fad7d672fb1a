"""Drives the backend server stand-ins and asks them what they ran."""

import asyncio
from collections import Counter
from collections.abc import Sequence
from typing import Any, Self

import aiohttp

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

    async def reset(self) -> None:
        """Forget executions and faults everywhere."""
        await asyncio.gather(*(self.ask(each, "POST", "reset") for each in self.addresses))

    async def stats(self) -> dict[str, dict[str, Any]]:
        """Return the statistics of every stand-in by address."""
        answers = await asyncio.gather(*(self.ask(a, "GET", "stats") for a in self.addresses))
        return dict(zip(self.addresses, answers, strict=True))

    async def executions(self) -> tuple[Counter[str], Counter[str]]:
        """Return executions by request id and by idempotency key, summed over all stand-ins."""
        answers = await asyncio.gather(*(self.ask(a, "GET", "executions") for a in self.addresses))
        requests = sum((Counter(answer["requests"]) for answer in answers), Counter())
        return requests, sum((Counter(answer["keys"]) for answer in answers), Counter())
