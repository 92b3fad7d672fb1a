"""A caller's connection, with as little work of its own as can be."""

import asyncio
from collections.abc import Callable
from typing import Any, cast

import httptools

from bench.hop._way import BODY_BYTES
from standins.expected_body import expected_body


class Connection(asyncio.Protocol):
    """Sends one request at a time and tells when its whole answer is there."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.parser: Any = None
        self.request_id = ""
        self.echo = b""
        self.body: list[bytes] = []
        self.done: Callable[[bool], None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.end(False)

    def send(self, request_id: str, request: bytes, done: Callable[[bool], None]) -> None:
        """Send a request; ``done`` is called with whether the answer is whole and its own."""
        self.request_id, self.done = request_id, done
        self.parser = httptools.HttpResponseParser(self)
        self.echo, self.body = b"", []
        if self.transport is None:
            self.end(False)
        else:
            self.transport.write(request)

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"x-echo-id":
            self.echo = value

    def on_body(self, body: bytes) -> None:
        self.body.append(body)

    def on_message_complete(self) -> None:
        whole = b"".join(self.body) == expected_body(self.request_id, BODY_BYTES)
        own = self.echo.decode() == self.request_id
        self.end(whole and own and self.parser.get_status_code() == 200)

    def end(self, answered_well: bool) -> None:
        done, self.done = self.done, None
        if done is not None:
            done(answered_well)
