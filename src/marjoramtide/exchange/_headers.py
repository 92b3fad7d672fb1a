"""Which headers travel from end to end."""

from collections.abc import Iterable

# RFC 9110, section 7.6.1, with the ones that name a connection by custom.
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
# Written anew at each hop.
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
    headers: Iterable[tuple[str, str]], own: frozenset[str]
) -> tuple[tuple[str, str], ...]:
    """Return the headers without those of the connection, the ones it names, and ours."""
    kept = []
    named: set[str] = set()
    for name, value in headers:
        lower = name.lower()
        if lower == "connection":
            named.update(token.strip().lower() for token in value.split(","))
        elif lower not in HOP_BY_HOP and lower not in own:
            kept.append((name, value))
    if named:
        return tuple((name, value) for name, value in kept if name.lower() not in named)
    return tuple(kept)
