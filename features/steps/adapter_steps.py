"""Steps that check the sources of the adapter and of the other packages."""

import ast
import random
import re
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from aiohttp.test_utils import make_mocked_request
from behave import given, then, when  # type: ignore[attr-defined]

from marjoramtide.clock import FreezeDetector, ManualClock
from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.platform import platform_interface
from marjoramtide.platform._backends import PlatformBackendProtocol
from marjoramtide.serving import EndpointResponse
from marjoramtide.settings import (
    Envelope,
    Freshness,
    Locality,
    NodeSettings,
    TreeSettingsView,
    parse_tree,
)
from marjoramtide.telemetry import Tracer
from standins.platform import render_template

TEMPLATE = Path(__file__).resolve().parents[2] / "deploy" / "node.toml.in"
MACHINE = {
    "NodeName": "sidecar-1",
    "Service": "s",
    "Region": "r",
    "Zone": "z",
    "Ip": "10.1.0.38",
    "InnerPortRange": [7380, 7395],
    "AppAddr": "10.1.0.38:8145",
    "ListenAddrs": {
        "Outbound": "10.1.0.38:8147",
        "Ready": "10.1.0.38:8141",
        "Control": "10.1.0.38:8144",
    },
    "Platform": {"Address": "10.200.1.7:8142"},
    "Bounds": {
        "GraceS": 6,
        "RetryBudgetRatio": 0.2,
        "BudgetWindowS": 10,
        "RetryBudgetSlack": 56,
        "ProbesPerS": 60,
    },
}
SOURCES = Path(__file__).resolve().parents[2] / "src" / "marjoramtide"
ADAPTER = SOURCES / "platform"
WIRE_NAME = re.compile(r"X-[A-Za-z-]+|[A-Z][a-z]+(?:[A-Z][a-z]*)+")
DECIDING = ("marjoramtide.policy", "marjoramtide.clock", "random", "time", "asyncio")


def constants(path: Path) -> Iterator[str]:
    """Yield the string constants of a module except docstrings."""
    tree = ast.parse(path.read_text(encoding="utf-8"))
    prose = {
        id(node.value)
        for node in ast.walk(tree)
        if isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant)
    }
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and isinstance(node.value, str) and id(node) not in prose:
            yield node.value


def wire_names() -> set[str]:
    """Return the names that the adapter decodes."""
    found = (text for path in ADAPTER.glob("*.py") for text in constants(path))
    return {text for text in found if WIRE_NAME.fullmatch(text)}


@then("no name of the wire stands outside of the adapter")
def only_in_adapter(context: Any) -> None:
    names = wire_names()
    assert len(names) > 20, names
    found = [
        (str(path.relative_to(SOURCES)), text)
        for path in sorted(SOURCES.rglob("*.py"))
        if ADAPTER not in path.parents
        for text in constants(path)
        if text in names
    ]
    assert not found, found


@then("the adapter imports neither decisions nor clocks, chance or the event loop")
def decides_nothing(context: Any) -> None:
    found = []
    for path in ADAPTER.glob("*.py"):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            names = [node.module or ""] if isinstance(node, ast.ImportFrom) else []
            if isinstance(node, ast.Import):
                names = [alias.name for alias in node.names]
            found += [(path.name, name) for name in names if name in DECIDING]
    assert not found, found


@given("the settings of a machine, filled into the deployed template")
def given_filled(context: Any) -> None:
    filled = render_template(TEMPLATE.read_text(encoding="utf-8"), MACHINE)
    context.settings = NodeSettings(**tomllib.loads(filled))


@given("the settings of a machine with {memory} MB, filled into the deployed template")
def given_memory(context: Any, memory: str) -> None:
    limits = {} if memory == "no" else {"Limits": {"MemoryMb": int(memory)}}
    filled = render_template(TEMPLATE.read_text(encoding="utf-8"), MACHINE | limits)
    context.settings = NodeSettings(**tomllib.loads(filled))


@then("the node may take {memory:d} MB")
def may_take(context: Any, memory: int) -> None:
    assert context.settings.memory_mb == memory, context.settings.memory_mb


@then(
    "the node stops within {grace_s:g} s and shares {ratio:g} second tries for each request "
    "and {per_s:g} a second"
)
def observes_bounds(context: Any, grace_s: float, ratio: float, per_s: float) -> None:
    interface = platform_interface(context.settings)
    assert interface.stop_grace_s == grace_s, interface.stop_grace_s
    values = interface.tree.base
    assert (values["second_try_ratio"], values["second_tries_per_s"]) == (ratio, per_s), values


@when("a bound is written without its name")
def without_name(context: Any) -> None:
    context.settings.bounds.append("6")


@then("the settings are refused, and told is what is allowed")
def settings_refused(context: Any) -> None:
    try:
        platform_interface(context.settings)
    except MarjoramtideError as error:
        assert error.code is ErrorCode.BAD_SETTINGS
        assert "name=value" in error.message, error.message
    else:
        raise AssertionError("taken")


@when('a backend server that runs "{running}" calls, and a caller asks')
def when_calls(context: Any, running: str) -> None:
    filled = render_template(TEMPLATE.read_text(encoding="utf-8"), MACHINE)
    callers = platform_interface(NodeSettings(**tomllib.loads(filled))).callers
    clock = ManualClock()
    tracer = Tracer("node", clock, random.Random(1))
    view = TreeSettingsView(Locality(), Freshness(clock, FreezeDetector(clock)))
    text = '[services.shop]\nhosts = ["shop.example"]\n'
    view.install(Envelope(1, "x", "first", "x", 0.0, "", [], text), parse_tree(text))
    context.requests = [
        callers.read(
            make_mocked_request("GET", "/", {"Host": "shop.example", "X-Attempt-Id": each}),
            view,
            tracer,
            clock.monotonic(),
        )[0]
        for each in (f"{running}.77ab", running)
    ]


@then("the call is known as one and the caller's request is not")
def then_call(context: Any) -> None:
    assert [each.is_call for each in context.requests] == [True, False], context.requests


@when("a server answers with {headers}")
def when_answers(context: Any, headers: str) -> None:
    pairs = () if headers == "nothing" else headers.split(", ")
    fields = [each.partition(":")[::2] for each in pairs]
    answer = EndpointResponse(200, tuple((name, value.strip(" ")) for name, value in fields))
    context.reading = PlatformBackendProtocol().read_health(answer)


@then("it is read to take {rate} a second, {leaving}, with {count:d} malformed")
def then_read(context: Any, rate: str, leaving: str, count: int) -> None:
    statement = context.reading.statement
    assert statement.rate_per_s == (None if rate == "nothing" else float(rate)), statement
    assert statement.leaving == (leaving == "leaving"), statement
    assert len(context.reading.malformed) == count, context.reading.malformed
