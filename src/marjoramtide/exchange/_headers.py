"""End-to-end and hop-by-hop headers."""

from collections.abc import Iterable

# RFC 9110, section 7.6.1, and others that concern a connection by convention.
HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
# Headers that each hop sets itself.
REWRITTEN_REQUEST_HEADERS = frozenset(
    (
        "content-length",
        "expect",
        "request-timeout-ms",
        "marjoramtide-depth",
        "marjoramtide-run",
        "marjoramtide-workspace",
        "traceparent",
    )
)
REWRITTEN_RESPONSE_HEADERS = frozenset(
    ("content-length", "request-outcome", "retry-after-ms", "marjoramtide-node", "date", "server")
)


def end_to_end(
    headers: Iterable[tuple[str, str]], rewritten: frozenset[str]
) -> tuple[tuple[str, str], ...]:
    """Return the headers without hop-by-hop ones, those named by Connection, and ``rewritten``."""
    kept = []
    connection_options: set[str] = set()
    for name, value in headers:
        lower = name.lower()
        if lower == "connection":
            connection_options.update(token.strip().lower() for token in value.split(","))
        elif lower not in HOP_BY_HOP and lower not in rewritten:
            kept.append((name, value))
    if connection_options:
        return tuple(
            (name, value) for name, value in kept if name.lower() not in connection_options
        )
    return tuple(kept)
