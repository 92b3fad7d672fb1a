"""Steps for the settings tree."""

from pathlib import Path
from typing import Any

import attrs
from behave import given, then

from marjoramtide.clock import FreezeDetector, ManualClock
from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.policy import LIMITERS, SELECTORS
from marjoramtide.settings import (
    SCHEMA,
    Envelope,
    Freshness,
    Locality,
    RouteSettings,
    TreeSettingsView,
    parse_tree,
)
from marjoramtide.settings.reference import reference_page

PAGES = Path(__file__).parents[2] / "docs" / "operators"


def view_of(text: str, region: str = "r", data_centre: str = "d") -> TreeSettingsView:
    clock = ManualClock()
    freshness = Freshness(clock, FreezeDetector(clock))
    view = TreeSettingsView(Locality(region, data_centre), freshness)
    view.install(Envelope(1, "lineage", "change", "author", 0.0, "", [], text), parse_tree(text))
    return view


@given("the settings tree")
def given_tree(context: Any) -> None:
    context.tree_text = context.text


@then("in {region} {data_centre} the path {path} of mapdesk has {key} {value} from {branch}")
def then_resolved(
    context: Any, region: str, data_centre: str, path: str, key: str, value: str, branch: str
) -> None:
    view = view_of(context.tree_text, region, data_centre)
    resolved = view.resolved("mapdesk", path)[1]
    assert str(resolved.values[key]) == value, resolved.values[key]
    assert resolved.origins[key] == branch, resolved.origins[key]
    assert getattr(view.route("mapdesk", path), key) == resolved.values[key]


@then('the host "{host}" belongs to "{service}"')
def then_host(context: Any, host: str, service: str) -> None:
    assert view_of(context.tree_text).service_for_host(host) == service


@then('the host "{host}" belongs to no service')
def then_no_host(context: Any, host: str) -> None:
    assert view_of(context.tree_text).service_for_host(host) is None


@then("the tree {text} is refused with {message}")
def then_refused(context: Any, text: str, message: str) -> None:
    try:
        parse_tree(text.replace("\\n", "\n"))
    except MarjoramtideError as error:
        assert error.code is ErrorCode.BAD_SETTINGS
        assert message in error.message, error.message
    else:
        raise AssertionError("accepted")


@then("the settings reference page is current")
def then_page(context: Any) -> None:
    assert (
        PAGES / "settings-reference.md"
    ).read_text() == reference_page(), "run python -m marjoramtide.settings.reference"


@then("the schema has every key of a route, and the selectors and limiters of the policies")
def then_complete(context: Any) -> None:
    fields = {field.name for field in attrs.fields(RouteSettings)} - {"service", "route"}
    assert not fields - SCHEMA.keys(), fields - SCHEMA.keys()
    assert all(SCHEMA["selector"].accepts(name) for name in SELECTORS)
    assert all(SCHEMA["limiter"].accepts(name) for name in LIMITERS)


@then("the incident guide has a section for each error code and for nothing else")
def then_guide(context: Any) -> None:
    lines = (PAGES / "incident-guide.md").read_text().splitlines()
    sections = {line.removeprefix("### ") for line in lines if line.startswith("### ")}
    assert sections == set(ErrorCode), sections ^ set(ErrorCode)
