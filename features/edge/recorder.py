"""A backend server that records the raw requests it receives."""

import socketserver
import threading
import time
from typing import Any

import attrs
import httptools

HEALTHY = b'HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n{"state":"ready"}'
OK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


@attrs.define(slots=True)
class Record:
    """A request as received, and whether it was received completely."""

    raw: bytes = b""
    method: str = ""
    headers: dict[str, str] = attrs.Factory(dict)
    body: bytes = b""
    whole: bool = False

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        self.whole = True


class Recorder(socketserver.ThreadingTCPServer):
    """Responds to each request with ``reply``, and records all requests but health checks."""

    allow_reuse_address = True
    daemon_threads = True

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        super().__init__((host, int(port)), Connection)
        self.records: list[Record] = []
        self.reply = OK_RESPONSE
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, *_: Any) -> None:
        """Ignore errors of connections that were reset."""

    def wait(self, count: int, timeout: float = 3.0) -> list[Record]:
        """Return the records once there are ``count``, after time for their bodies to arrive."""
        end = time.monotonic() + timeout
        while len(self.records) < count and time.monotonic() < end:
            time.sleep(0.02)
        time.sleep(0.2)
        return list(self.records)

    def stop(self) -> None:
        self.shutdown()
        self.server_close()


class Connection(socketserver.BaseRequestHandler):
    """Serves the requests of one connection in sequence."""

    def handle(self) -> None:
        while self.serve_request():
            pass

    def serve_request(self) -> bool:
        record = Record()
        parser: Any = httptools.HttpRequestParser(record)
        while not record.whole:
            data = self.request.recv(65536)
            if data and not record.raw and not data.startswith(b"GET /health "):
                self.server.records.append(record)  # type: ignore[attr-defined]
            record.raw += data
            if not data:
                return False
            parser.feed_data(data)
        health = record.raw.startswith(b"GET /health ")
        self.request.sendall(HEALTHY if health else self.server.reply)  # type: ignore[attr-defined]
        return bool(parser.should_keep_alive())
