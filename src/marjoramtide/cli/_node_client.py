"""Asks a node's operators API."""

import asyncio
import json
from collections.abc import Callable
from typing import Any

import aiohttp
import attrs

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.settings import parse_address

TIMEOUT_S = 15.0
ASKED_AT_ONCE = 16
# A change waits for the store as long as it is away; the node sends a line every few seconds.
LINE_TIMEOUT_S = 30.0
NODE_VARIABLE = "MARJORAMTIDE_NODE"


@attrs.frozen(slots=True)
class NodeClient:
    """One node's operators API at ``IP:PORT``.

    Raises ``connect-failed`` where the node isn't reached, ``peer-lost`` where its answer breaks
    off, and what the node itself answers.
    """

    address: str

    def get(self, path: str, /, **arguments: Any) -> dict[str, Any]:
        """Ask and return the answer."""
        return asyncio.run(self.call("GET", path, arguments))

    def post(self, path: str, /, **arguments: Any) -> dict[str, Any]:
        """Tell the node to do something and return its answer."""
        return asyncio.run(self.call("POST", path, arguments))

    def change(
        self, body: dict[str, Any], progress: Callable[[dict[str, Any]], None]
    ) -> dict[str, Any]:
        """Make a change and return its outcome; raises ``store-ambiguous`` where it isn't known."""
        return asyncio.run(self._change(body, progress))

    async def call(self, method: str, path: str, arguments: dict[str, Any]) -> dict[str, Any]:
        """Make one call."""
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(method, self._url(path), params=arguments) as response,
            ):
                return self._read(await response.text())
        except aiohttp.ClientConnectorError as error:
            raise self._unreachable(error) from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise self._lost(f"{type(error).__name__}: {error}") from error

    async def _change(
        self, body: dict[str, Any], progress: Callable[[dict[str, Any]], None]
    ) -> dict[str, Any]:
        timeout = aiohttp.ClientTimeout(total=None, sock_read=LINE_TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout, read_bufsize=1 << 20) as session,
                session.post(self._url("/settings/change"), json=body) as response,
            ):
                async for line in response.content:
                    answer = self._read(line.decode())
                    if "outcome" in answer:
                        outcome: dict[str, Any] = answer["outcome"]
                        return outcome
                    progress(answer.get("progress", {}))
        except aiohttp.ClientConnectorError as error:
            raise self._unreachable(error) from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise self._unknown(f"{type(error).__name__}: {error}") from error
        raise self._unknown("the node's answer ended before the outcome")

    def _url(self, path: str) -> str:
        host, port = parse_address(self.address)
        return f"http://{f'[{host}]' if ':' in host else host}:{port}{path}"

    def _read(self, text: str) -> dict[str, Any]:
        try:
            answer: dict[str, Any] = json.loads(text)
        except ValueError as error:
            raise self._lost(f"not JSON: {text[:80]!r}") from error
        if told := answer.get("error"):
            raise MarjoramtideError(
                ErrorCode(told["code"]), told["message"], step=told["step"], peer=told["peer"]
            )
        return answer

    def _unreachable(self, error: Exception) -> MarjoramtideError:
        return MarjoramtideError(
            ErrorCode.CONNECT_FAILED, str(error), step="cli.connect", peer=self.address
        )

    def _lost(self, message: str) -> MarjoramtideError:
        return MarjoramtideError(ErrorCode.PEER_LOST, message, step="cli.call", peer=self.address)

    def _unknown(self, message: str) -> MarjoramtideError:
        """Return the error for a change that the node may still be making."""
        return MarjoramtideError(
            ErrorCode.STORE_AMBIGUOUS,
            f"not known whether the change was accepted: {message}",
            step="cli.change",
            peer=self.address,
        )


def ask_all(
    addresses: list[str], path: str, /, **arguments: Any
) -> list[dict[str, Any] | MarjoramtideError]:
    """Ask several nodes; return for each its answer, or the error where there is none."""

    async def ask(address: str, gate: asyncio.Semaphore) -> dict[str, Any] | MarjoramtideError:
        async with gate:
            try:
                return await NodeClient(address).call("GET", path, arguments)
            except MarjoramtideError as error:
                return error

    async def ask_each() -> list[dict[str, Any] | MarjoramtideError]:
        gate = asyncio.Semaphore(ASKED_AT_ONCE)
        return await asyncio.gather(*(ask(address, gate) for address in addresses))

    return asyncio.run(ask_each())
