"""One request's story from the logs of many nodes."""

import itertools
import json
import sys
from collections.abc import Iterable, Iterator
from datetime import datetime
from pathlib import Path
from typing import Any

from marjoramtide.errors import ErrorCode, MarjoramtideError

STANDARD_INPUT = "-"
# The line with which the node that took the request gives its final answer.
FINAL = ("ingress.refused", "ingress.broken_off", "ingress.late")


def read_story(request: str, files: Iterable[str]) -> list[dict[str, Any]]:
    """Return the log lines about a request or trace id, in the order in which things happened.

    Files hold lines of any nodes, each a JSON object, whatever stands before it on the line.
    Raises ``not-found`` for a file that can't be read.
    """
    lines = itertools.chain.from_iterable(map(_lines, files))
    names = ("request", "trace_id")
    return _in_order([line for line in lines if request in map(line.get, names)])


def format_story(lines: list[dict[str, Any]]) -> str:
    """Return the story for people: a line for each event, and one for each try."""
    return "\n".join(text for line in lines for text in _told(line))


def _lines(file: str) -> Iterator[dict[str, Any]]:
    try:
        if file == STANDARD_INPUT:
            text = sys.stdin.read()
        else:
            text = Path(file).read_text("utf-8", "replace")
    except OSError as error:
        raise MarjoramtideError(
            ErrorCode.NOT_FOUND, f"{file}: {error}", step="cli.trace"
        ) from error
    for row in text.splitlines():
        start = row.find("{")
        try:
            line = json.loads(row[start:]) if start >= 0 else None
        except ValueError:
            # Other programs write there too, and a line may have been cut off.
            continue
        if isinstance(line, dict) and "timestamp" in line:
            yield line


def _in_order(lines: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Sort by time, where the clocks of the nodes may differ.

    Nothing about a request happens after its final answer. A node whose lines are later than that
    has a clock that is ahead by at least as much, and its lines are moved back.
    """
    times = {id(line): datetime.fromisoformat(line["timestamp"]).timestamp() for line in lines}
    finals = [line for line in lines if line.get("event") in FINAL]
    if finals:
        final = min(finals, key=lambda line: times[id(line)])
        ends = times[id(final)]
        for node in {line.get("node") for line in lines} - {final.get("node")}:
            own = [line for line in lines if line.get("node") == node]
            ahead = max(times[id(line)] for line in own) - ends
            if ahead > 0:
                times |= {id(line): times[id(line)] - ahead for line in own}
    return sorted(lines, key=lambda line: (times[id(line)], line.get("event") in FINAL))


def _told(line: dict[str, Any]) -> Iterator[str]:
    tries = line.get("tries") or []
    shown = {key: value for key, value in line.items() if key not in HIDDEN}
    fields = " ".join(f"{key}={value}" for key, value in shown.items())
    for number, each in enumerate(tries, start=1):
        yield f"    try {number}: " + " ".join(f"{key}={value}" for key, value in each.items())
    yield f"{line['timestamp']} {line.get('node', '')} {line.get('event', '')} {fields}"


HIDDEN = frozenset(("timestamp", "node", "event", "tries", "request", "level", "data_centre"))
