"""Reads what a backend server says that it takes, by whichever names."""

import re
from collections.abc import Sequence

import attrs

from marjoramtide.exchange import ServerStatement
from marjoramtide.serving._response_metadata import NOTHING_STATED

# No backend server takes a million requests a second; more is no rate.
MOST_PER_S = 1_000_000.0
RATE = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
LEAVING = "1"
# Of a text that can't be read; the rest tells nothing more.
LOGGED_CHARACTERS = 40


@attrs.frozen(slots=True)
class StatementParser:
    """The names of the two statements in the headers of answers.

    What is no plain decimal number, is beyond any rate or stands there twice counts as not said,
    and is returned as malformed: a server that says so is in need, and which of two limits it means
    can't be known.
    """

    rate_name: str
    leaving_name: str

    def parse(
        self, rates: Sequence[str], leavings: Sequence[str]
    ) -> tuple[ServerStatement, tuple[str, ...]]:
        """Return what the values of both headers say, and what of them can't be read."""
        if not rates and not leavings:
            return NOTHING_STATED, ()
        rate = read_rate(rates[0]) if len(rates) == 1 else None
        leaving = len(leavings) == 1 and leavings[0].strip() == LEAVING
        malformed = []
        if rates and rate is None:
            malformed.append(told(self.rate_name, rates))
        if leavings and not leaving:
            malformed.append(told(self.leaving_name, leavings))
        return ServerStatement("", rate, leaving), tuple(malformed)


def read_rate(text: str) -> float | None:
    """Read requests a second; ``None`` where it says nothing."""
    if not RATE.fullmatch(text.strip(" \t")):
        return None
    rate = float(text)
    return rate if rate <= MOST_PER_S else None


def told(name: str, values: Sequence[str]) -> str:
    """Return a header as it is told in a log line."""
    return f"{name}: {', '.join(values)}"[: len(name) + LOGGED_CHARACTERS]
