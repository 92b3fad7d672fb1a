"""The answers of a soak's backend servers, and which of them callers take for their own."""

import hashlib
from http import HTTPStatus

import attrs

ID_HEADER = "X-Attempt-Id"
SEAL_HEADER = "X-Response-Seal"
NOT_RUN_HEADER = "X-Not-Executed"
BODY_BYTES = 700


def expected_body(attempt: str) -> bytes:
    """Return the body of the answer to a request that has run."""
    line = hashlib.sha256(attempt.encode()).hexdigest().encode()
    return (line * (BODY_BYTES // len(line) + 1))[:BODY_BYTES]


def expected_seal(attempt: str) -> str:
    """Return the seal of the answer to a request that has run."""
    return hashlib.sha256(b"seal" + attempt.encode()).hexdigest()[:16]


@attrs.frozen(slots=True)
class Answer:
    """An answer; without a length if it is not ``framed``."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    framed: bool = True

    def encode(self) -> bytes:
        """Return the bytes of the answer."""
        length = ("Content-Length", str(len(self.body)))
        fields = [*self.headers, length if self.framed else ("Connection", "close")]
        lines = [f"HTTP/1.1 {self.status} {HTTPStatus(self.status).phrase}"]
        lines += [f"{name}: {value}" for name, value in fields]
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + self.body


def executed(attempt: str, status: int = 200, *, framed: bool = True) -> Answer:
    """Return the answer to a request that has run."""
    headers = ((ID_HEADER, attempt), (SEAL_HEADER, expected_seal(attempt)))
    return Answer(status, headers, expected_body(attempt), framed)


def rejection(attempt: str, status: int = 503) -> Answer:
    """Return the answer to a request that was not run."""
    return Answer(status, ((NOT_RUN_HEADER, "1"), (ID_HEADER, attempt)))
