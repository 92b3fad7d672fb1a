"""The timeline of one request from the logs of several nodes."""

import itertools
import json
import sys
from collections.abc import Iterable, Iterator
from datetime import datetime
from pathlib import Path
from typing import Any

from marjoramtide.errors import ErrorCode, MarjoramtideError

STANDARD_INPUT = "-"
# Events with which the node that received the request logs its final response.
FINAL_EVENTS = ("ingress.refused", "ingress.broken_off", "ingress.late")


def read_timeline(request: str, files: Iterable[str]) -> list[dict[str, Any]]:
    """Return the log lines of a request id or trace id in chronological order.

    Files contain lines of any nodes, each a JSON object with an optional prefix such as the
    collector's. Raises ``not-found`` for a file that can't be read.
    """
    lines = itertools.chain.from_iterable(map(_lines, files))
    id_fields = ("request", "trace_id")
    return _sort_by_time([line for line in lines if request in map(line.get, id_fields)])


def format_timeline(lines: list[dict[str, Any]]) -> str:
    """Return the timeline as text: a line for each event and for each attempt."""
    return "\n".join(text for line in lines for text in _format_line(line))


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
    for text_line in text.splitlines():
        start = text_line.find("{")
        try:
            line = json.loads(text_line[start:]) if start >= 0 else None
        except ValueError:
            # Ignores output of other programs and truncated lines.
            continue
        if isinstance(line, dict) and "timestamp" in line:
            yield line


def _sort_by_time(lines: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Sort by time, with a correction of clock skew between nodes.

    No event of a request follows its final response. If a node has later lines, its clock is ahead
    by at least that difference, and its lines are shifted back.
    """
    times = {id(line): datetime.fromisoformat(line["timestamp"]).timestamp() for line in lines}
    final_lines = [line for line in lines if line.get("event") in FINAL_EVENTS]
    if final_lines:
        final = min(final_lines, key=lambda line: times[id(line)])
        final_at = times[id(final)]
        for node in {line.get("node") for line in lines} - {final.get("node")}:
            node_lines = [line for line in lines if line.get("node") == node]
            skew_s = max(times[id(line)] for line in node_lines) - final_at
            if skew_s > 0:
                times |= {id(line): times[id(line)] - skew_s for line in node_lines}
    return sorted(lines, key=lambda line: (times[id(line)], line.get("event") in FINAL_EVENTS))


def _format_line(line: dict[str, Any]) -> Iterator[str]:
    attempts = line.get("tries") or []
    shown_fields = {key: value for key, value in line.items() if key not in HIDDEN_FIELDS}
    fields = " ".join(f"{key}={value}" for key, value in shown_fields.items())
    for number, attempt in enumerate(attempts, start=1):
        yield f"    try {number}: " + " ".join(f"{key}={value}" for key, value in attempt.items())
    yield f"{line['timestamp']} {line.get('node', '')} {line.get('event', '')} {fields}"


HIDDEN_FIELDS = frozenset(
    ("timestamp", "node", "event", "tries", "request", "level", "data_centre")
)
