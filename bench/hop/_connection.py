"""A minimal HTTP client connection, to keep the measuring overhead low."""

import asyncio
from collections.abc import Callable
from typing import Any, cast

import httptools

from bench.hop._call_path import BODY_BYTES
from standins.expected_body import expected_body


class Connection(asyncio.Protocol):
    """Sends one request at a time and reports when its response is complete."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.parser: Any = None
        self.request_id = ""
        self.echoed_id = b""
        self.body: list[bytes] = []
        self.on_done: Callable[[bool], None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.finish(False)

    def send(self, request_id: str, request: bytes, on_done: Callable[[bool], None]) -> None:
        """Send a request; call ``on_done`` with whether its response is complete and matches."""
        self.request_id, self.on_done = request_id, on_done
        self.parser = httptools.HttpResponseParser(self)
        self.echoed_id, self.body = b"", []
        if self.transport is None:
            self.finish(False)
        else:
            self.transport.write(request)

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"x-echo-id":
            self.echoed_id = value

    def on_body(self, body: bytes) -> None:
        self.body.append(body)

    def on_message_complete(self) -> None:
        is_complete = b"".join(self.body) == expected_body(self.request_id, BODY_BYTES)
        matches = self.echoed_id.decode() == self.request_id
        self.finish(is_complete and matches and self.parser.get_status_code() == 200)

    def finish(self, is_valid: bool) -> None:
        on_done, self.on_done = self.on_done, None
        if on_done is not None:
            on_done(is_valid)
