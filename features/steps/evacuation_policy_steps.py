"""Steps on which data centres are evacuated, without a network."""

import json
import re
from typing import Any

from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]

from marjoramtide.checked import MalformedError
from marjoramtide.evacuation._store_news import unpack_store_news
from marjoramtide.policy import Evacuated, Evacuations
from marjoramtide.store._versions import version_of

use_step_matcher("parse")

NOW = 1000.0
HEARD = re.compile(r"(?P<names>[a-z ]+) at (?P<revision>\d+)( of epoch (?P<epoch>\d+))?")


def hear(context: Any, event: str) -> None:
    """Let the node hear one piece of news, or let time pass."""
    if event == "nothing":
        return
    if event.endswith("s pass"):
        context.now += float(event.split()[0])
        return
    found = HEARD.fullmatch(event)
    assert found is not None, event
    names = frozenset() if found["names"] == "none" else frozenset(found["names"].split(" and "))
    version = version_of(int(found["epoch"] or 0), int(found["revision"]))
    context.evacuations.take(Evacuated(version, names), context.now)


@given("a node that has heard {events}")
def given_heard(context: Any, events: str) -> None:
    context.now = NOW
    context.evacuations = Evacuations()
    for event in events.split(", "):
        hear(context, event)


@then("{names} is evacuated there")
def then_evacuated(context: Any, names: str) -> None:
    wanted = set() if names == "nothing" else {names}
    assert context.evacuations.in_force(context.now) == wanted


@when("another node hears of it what it tells")
def when_told(context: Any) -> None:
    context.other = Evacuations()
    context.other.take(context.evacuations.tell(context.now), context.now)


@then("{name} is evacuated at the other node for another {seconds:d} s")
def then_for_a_while(context: Any, name: str, seconds: int) -> None:
    assert context.other.in_force(context.now + seconds - 0.1) == {name}
    assert not context.other.in_force(context.now + seconds + 0.1)


@given("store news {news}")
def given_news(context: Any, news: str) -> None:
    context.news = json.loads(news)


@then("that news is refused as malformed")
def then_refused(context: Any) -> None:
    try:
        unpack_store_news(context.news)
    except MalformedError:
        return
    raise AssertionError(f"{context.news} was read")
