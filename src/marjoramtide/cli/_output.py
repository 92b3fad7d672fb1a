"""Prints for people or for programs."""

import json
import sys
from collections.abc import Iterable, Sequence
from typing import Any

import attrs

from marjoramtide.cli._advice import advice_on
from marjoramtide.errors import MarjoramtideError


@attrs.frozen(slots=True)
class Output:
    """Text on a terminal, or with ``--json`` one JSON document for a command.

    Progress goes to standard error, so that standard output holds the result alone.
    """

    as_json: bool

    def result(self, value: Any, text: str) -> None:
        """Print a result: ``value`` for programs, ``text`` for people."""
        print(json.dumps(value) if self.as_json else text.rstrip("\n"))

    def table(self, value: Any, rows: Sequence[Sequence[Any]], heads: Sequence[str]) -> None:
        """Print a result whose text is a table."""
        self.result(value, format_table(rows, heads))

    def progress(self, message: str) -> None:
        """Print a step of a long command for people."""
        if not self.as_json and message:
            print(message, file=sys.stderr, flush=True)

    def error(self, error: MarjoramtideError, **more: Any) -> None:
        """Print an error with its code, step and peer, and what to do next."""
        following = advice_on(error.code)
        if self.as_json:
            told = {
                "code": str(error.code),
                "message": error.message,
                "step": error.step,
                "peer": error.peer,
                "next": following,
            }
            print(json.dumps({"error": told | more}))
            return
        print(f"error: {error}", file=sys.stderr)
        print(f"next: {following}", file=sys.stderr)
        for name, value in more.items():
            print(f"{name}: {value}", file=sys.stderr)


def format_table(rows: Iterable[Sequence[Any]], heads: Sequence[str]) -> str:
    """Return aligned columns under their heads."""
    cells = [list(heads), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(heads))]
    lines = (
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in cells
    )
    return "\n".join(lines)


def format_records(records: Sequence[dict[str, Any]]) -> str:
    """Return a table with a column for each key; an empty string for no records."""
    columns = list(dict.fromkeys(key for one in records for key in one))
    rows = [[one.get(column, "") for column in columns] for one in records]
    return format_table(rows, columns) if records else ""
