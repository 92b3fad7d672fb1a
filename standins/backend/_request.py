"""HTTP requests as the stand-in parses them."""

from urllib.parse import parse_qs, urlsplit

import attrs

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})  # RFC 9110, 9.2.2


@attrs.define(slots=True)
class Request:
    """A parsed request; header names are lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    keep_alive: bool

    @property
    def path(self) -> str:
        return urlsplit(self.target).path

    @property
    def request_id(self) -> str:
        return self.headers.get("x-request-id", "")

    @property
    def is_idempotent(self) -> bool:
        return self.method in IDEMPOTENT_METHODS

    @property
    def timeout_s(self) -> float | None:
        """Return the time limit that the caller set, counted from arrival, or ``None``."""
        value = self.headers.get("request-timeout-ms", "")
        return int(value) / 1000 if value.isdigit() else None

    def query_number(self, name: str) -> float | None:
        """Return a numeric query parameter, or ``None``."""
        values = parse_qs(urlsplit(self.target).query).get(name)
        try:
            return float(values[0]) if values else None
        except ValueError:
            return None
