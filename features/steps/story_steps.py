"""Steps for reading a request's timeline from logs."""

import tempfile
from pathlib import Path
from typing import Any

from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]

from marjoramtide.cli._request_timeline import format_timeline, read_timeline

use_step_matcher("parse")


@given("a log file with the lines")
def given_log(context: Any) -> None:
    folder = context.cleanup.enter_context(tempfile.TemporaryDirectory())
    context.log_file = Path(folder) / "nodes.log"
    context.log_file.write_text("\n".join(row["line"] for row in context.table))


@when('the operator traces "{request}" in that file')
def when_traced(context: Any, request: str) -> None:
    context.timeline = format_timeline(read_timeline(request, [str(context.log_file)]))


@then('the timeline contains "{first}", "{second}", "{third}" in this order')
def contains_in_order(context: Any, first: str, second: str, third: str) -> None:
    places = [context.timeline.find(each) for each in (first, second, third)]
    assert -1 not in places and places == sorted(places), context.timeline


@then('the timeline does not contain "{text}"')
def does_not_contain(context: Any, text: str) -> None:
    assert text not in context.timeline
