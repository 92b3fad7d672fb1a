"""The answer of one of the backend server's own endpoints."""

import attrs


@attrs.frozen(slots=True)
class EndpointResponse:
    """Status, headers in their order, and body."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""

    def header(self, name: str) -> str:
        """Return the first header of this name (lower case), or an empty string."""
        return next((value for each, value in self.headers if each.lower() == name), "")

    def header_values(self, name: str) -> list[str]:
        """Return all headers of this name (lower case)."""
        return [value for each, value in self.headers if each.lower() == name]
