"""Output as text or JSON."""

import json
import sys
from collections.abc import Iterable, Sequence
from typing import Any

import attrs

from marjoramtide.cli._advice import advice_for
from marjoramtide.errors import MarjoramtideError


@attrs.frozen(slots=True)
class Output:
    """Prints text, or with ``--json`` one JSON document per command.

    Progress goes to standard error, so that standard output contains only the result.
    """

    as_json: bool

    def result(self, value: Any, text: str) -> None:
        """Print a result: ``value`` as JSON, or ``text``."""
        print(json.dumps(value) if self.as_json else text.rstrip("\n"))

    def table(self, value: Any, rows: Sequence[Sequence[Any]], headers: Sequence[str]) -> None:
        """Print a result with a table as its text."""
        self.result(value, format_table(rows, headers))

    def progress(self, message: str) -> None:
        """Print a progress message, unless the output is JSON."""
        if not self.as_json and message:
            print(message, file=sys.stderr, flush=True)

    def error(self, error: MarjoramtideError, **details: Any) -> None:
        """Print an error with its code, step and peer, and the suggested next step."""
        advice = advice_for(error.code)
        if self.as_json:
            document = {
                "code": str(error.code),
                "message": error.message,
                "step": error.step,
                "peer": error.peer,
                "next": advice,
            }
            print(json.dumps({"error": document | details}))
            return
        print(f"error: {error}", file=sys.stderr)
        print(f"next: {advice}", file=sys.stderr)
        for name, value in details.items():
            print(f"{name}: {value}", file=sys.stderr)


def format_table(rows: Iterable[Sequence[Any]], headers: Sequence[str]) -> str:
    """Return a table of aligned columns with headers."""
    cells = [list(headers), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(headers))]
    lines = (
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in cells
    )
    return "\n".join(lines)


def format_records(records: Sequence[dict[str, Any]]) -> str:
    """Return a table with a column for each key; an empty string for no records."""
    columns = list(dict.fromkeys(key for record in records for key in record))
    rows = [[record.get(column, "") for column in columns] for record in records]
    return format_table(rows, columns) if records else ""
