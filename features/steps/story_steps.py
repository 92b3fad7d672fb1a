"""Steps on reading a request's story from logs."""

import tempfile
from pathlib import Path
from typing import Any

from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]

from marjoramtide.cli._request_story import format_story, read_story

use_step_matcher("parse")


@given("a log file with the lines")
def given_log(context: Any) -> None:
    folder = context.cleanup.enter_context(tempfile.TemporaryDirectory())
    context.log_file = Path(folder) / "nodes.log"
    context.log_file.write_text("\n".join(row["line"] for row in context.table))


@when('the operator traces "{request}" in that file')
def when_traced(context: Any, request: str) -> None:
    context.story = format_story(read_story(request, [str(context.log_file)]))


@then('the story names "{first}", "{second}", "{third}" in this order')
def names_in_order(context: Any, first: str, second: str, third: str) -> None:
    places = [context.story.find(each) for each in (first, second, third)]
    assert -1 not in places and places == sorted(places), context.story


@then('the story does not name "{text}"')
def names_not(context: Any, text: str) -> None:
    assert text not in context.story
