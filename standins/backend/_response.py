"""HTTP responses of the stand-in."""

import json
from http import HTTPStatus

import attrs


@attrs.define(slots=True)
class Response:
    """Status, headers and body; only ``sent_bytes`` of the body are sent, if set.

    A ``chunked`` response does not state its length (RFC 9112, section 7.1); one that is not
    ``framed`` ends with its connection (section 6.3). After one that ``hangs``, the connection
    stays open and nothing more is sent. After one with ``repeats``, these bytes are sent again and
    again until the connection is closed.
    """

    status: int
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    sent_bytes: int | None = None
    chunked: bool = False
    framed: bool = True
    hangs: bool = False
    repeats: bytes = b""

    def encode(self, *, close: bool, head_only: bool = False) -> bytes:
        """Return the bytes to send; ``Content-Length`` is always that of the whole body."""
        connection = "close" if close else "keep-alive"
        framing = {"Content-Length": str(len(self.body))} if self.framed else {}
        if self.chunked:
            framing = {"Transfer-Encoding": "chunked"}
        fields = {**self.headers, **framing, "Connection": connection}
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        head = f"HTTP/1.1 {self.status} {HTTPStatus(self.status).phrase}\r\n{lines}\r\n"
        return head.encode() + (b"" if head_only else self.encode_body())

    def encode_body(self) -> bytes:
        sent = self.body[: self.sent_bytes]
        if not self.chunked:
            return sent
        last = b"0\r\n\r\n" if self.sent_bytes is None else b""
        return b"%x\r\n%b\r\n%b" % (len(sent), sent, last)


def json_response(value: object, status: int = 200) -> Response:
    """Return a response with a JSON body."""
    return Response(status, {"Content-Type": "application/json"}, json.dumps(value).encode())


def refused_response(reason: str) -> Response:
    """Return the response to a request that was not run."""
    headers = {"Request-Outcome": "not-run", "Retry-After": "1", "Content-Type": "text/plain"}
    return Response(503, headers, reason.encode())
