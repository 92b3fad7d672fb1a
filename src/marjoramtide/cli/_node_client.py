"""The client of a node's operators' API."""

import asyncio
import json
from collections.abc import Callable
from typing import Any

import aiohttp
import attrs

from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.settings import parse_address

CALL_TIMEOUT_S = 15.0
MAX_CONCURRENT_QUERIES = 16
# A change waits while the store is unavailable; meanwhile the node sends a line every few seconds.
LINE_TIMEOUT_S = 30.0
NODE_VARIABLE = "MARJORAMTIDE_NODE"


@attrs.frozen(slots=True)
class NodeClient:
    """A client of the operators' API at ``IP:PORT``.

    Raises ``connect-failed`` if the node can't be reached, ``peer-lost`` if its response is
    incomplete, and the errors that the node responds with.
    """

    address: str

    def get(self, path: str, /, **arguments: Any) -> dict[str, Any]:
        """Send a GET request and return the response."""
        return asyncio.run(self.call("GET", path, arguments))

    def post(self, path: str, /, **arguments: Any) -> dict[str, Any]:
        """Send a POST request and return the response."""
        return asyncio.run(self.call("POST", path, arguments))

    def change(
        self, body: dict[str, Any], on_progress: Callable[[dict[str, Any]], None]
    ) -> dict[str, Any]:
        """Make a change and return its outcome; raises ``store-ambiguous`` if that is unknown."""
        return asyncio.run(self._change(body, on_progress))

    async def call(self, method: str, path: str, arguments: dict[str, Any]) -> dict[str, Any]:
        """Make one API call and return the response."""
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(method, self._url(path), params=arguments) as response,
            ):
                return self._parse_response(await response.text())
        except aiohttp.ClientConnectorError as error:
            raise self._unreachable(error) from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise self._connection_lost(f"{type(error).__name__}: {error}") from error

    async def _change(
        self, body: dict[str, Any], on_progress: Callable[[dict[str, Any]], None]
    ) -> dict[str, Any]:
        timeout = aiohttp.ClientTimeout(total=None, sock_read=LINE_TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout, read_bufsize=1 << 20) as session,
                session.post(self._url("/settings/change"), json=body) as response,
            ):
                async for line in response.content:
                    message = self._parse_response(line.decode())
                    if "outcome" in message:
                        outcome: dict[str, Any] = message["outcome"]
                        return outcome
                    on_progress(message.get("progress", {}))
        except aiohttp.ClientConnectorError as error:
            raise self._unreachable(error) from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise self._outcome_unknown(f"{type(error).__name__}: {error}") from error
        raise self._outcome_unknown("the response ended before the outcome")

    def _url(self, path: str) -> str:
        host, port = parse_address(self.address)
        return f"http://{f'[{host}]' if ':' in host else host}:{port}{path}"

    def _parse_response(self, text: str) -> dict[str, Any]:
        try:
            response_fields: dict[str, Any] = json.loads(text)
        except ValueError as error:
            raise self._connection_lost(f"not JSON: {text[:80]!r}") from error
        if error_fields := response_fields.get("error"):
            raise MarjoramtideError(
                ErrorCode(error_fields["code"]),
                error_fields["message"],
                step=error_fields["step"],
                peer=error_fields["peer"],
            )
        return response_fields

    def _unreachable(self, error: Exception) -> MarjoramtideError:
        return MarjoramtideError(
            ErrorCode.CONNECT_FAILED, str(error), step="cli.connect", peer=self.address
        )

    def _connection_lost(self, message: str) -> MarjoramtideError:
        return MarjoramtideError(ErrorCode.PEER_LOST, message, step="cli.call", peer=self.address)

    def _outcome_unknown(self, message: str) -> MarjoramtideError:
        """Return the error for a change that may or may not be accepted."""
        return MarjoramtideError(
            ErrorCode.STORE_AMBIGUOUS,
            f"unknown whether the change was accepted: {message}",
            step="cli.change",
            peer=self.address,
        )


def query_nodes(
    addresses: list[str], path: str, /, **arguments: Any
) -> list[dict[str, Any] | MarjoramtideError]:
    """Query several nodes; return each node's response, or the error."""

    async def query(
        address: str, semaphore: asyncio.Semaphore
    ) -> dict[str, Any] | MarjoramtideError:
        async with semaphore:
            try:
                return await NodeClient(address).call("GET", path, arguments)
            except MarjoramtideError as error:
                return error

    async def query_all() -> list[dict[str, Any] | MarjoramtideError]:
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_QUERIES)
        return await asyncio.gather(*(query(address, semaphore) for address in addresses))

    return asyncio.run(query_all())
