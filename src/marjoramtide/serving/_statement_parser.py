"""Parser for the limits that a backend server states in response headers."""

import re
from collections.abc import Sequence

import attrs

from marjoramtide.exchange import ServerStatement
from marjoramtide.serving._response_metadata import NOTHING_STATED

# No backend server serves a million requests per second; higher values are invalid.
MAX_RATE_PER_S = 1_000_000.0
RATE = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
LEAVING = "1"
# Longer invalid values are truncated in logs.
MAX_LOGGED_CHARS = 40


@attrs.frozen(slots=True)
class StatementParser:
    """Parses the rate limit and the leaving flag from response headers with the given names.

    A rate that is not a plain decimal number, is too high or occurs twice counts as not stated: it
    is unclear which of two limits is meant. It is returned as malformed and not ignored silently,
    because a server that sends it is in need of protection.
    """

    rate_header: str
    leaving_header: str

    def parse(
        self, rate_values: Sequence[str], leaving_values: Sequence[str]
    ) -> tuple[ServerStatement, tuple[str, ...]]:
        """Return the statement in the values of both headers, and the invalid header lines."""
        if not rate_values and not leaving_values:
            return NOTHING_STATED, ()
        rate = parse_rate(rate_values[0]) if len(rate_values) == 1 else None
        is_leaving = len(leaving_values) == 1 and leaving_values[0].strip() == LEAVING
        malformed = []
        if rate_values and rate is None:
            malformed.append(header_line(self.rate_header, rate_values))
        if leaving_values and not is_leaving:
            malformed.append(header_line(self.leaving_header, leaving_values))
        return ServerStatement("", rate, is_leaving), tuple(malformed)


def parse_rate(text: str) -> float | None:
    """Parse requests per second; ``None`` if the value is invalid."""
    if not RATE.fullmatch(text.strip(" \t")):
        return None
    rate = float(text)
    return rate if rate <= MAX_RATE_PER_S else None


def header_line(name: str, values: Sequence[str]) -> str:
    """Return a header as it is logged."""
    return f"{name}: {', '.join(values)}"[: len(name) + MAX_LOGGED_CHARS]
