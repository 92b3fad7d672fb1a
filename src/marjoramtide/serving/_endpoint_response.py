"""Response of one of the backend server's own endpoints."""

import attrs


@attrs.frozen(slots=True)
class EndpointResponse:
    """Status, headers in their original order, and body."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""

    def header(self, name: str) -> str:
        """Return the first header with this lower-case name, or an empty string."""
        return next((value for each, value in self.headers if each.lower() == name), "")

    def header_values(self, name: str) -> list[str]:
        """Return all headers with this lower-case name."""
        return [value for each, value in self.headers if each.lower() == name]
