"""Steps on requests that crash the backend servers that run them."""

import asyncio
from collections import Counter
from typing import Any

import attrs
from behave import given, then, use_step_matcher  # type: ignore[attr-defined]

from bench.load import Outcome
from features.steps.mesh_steps import failure_details, results_of, run, start_mesh

use_step_matcher("parse")


@given(
    'a mesh of {count:d} {service} nodes, whose servers crash on "{path}" '
    "and restart after {seconds:g} s"
)
def given_crashing_mesh(context: Any, count: int, service: str, path: str, seconds: float) -> None:
    start_mesh(context, {service: count}, deadly=path)
    restart_crashed_servers(context, seconds)


def restart_crashed_servers(context: Any, seconds: float) -> None:
    async def begin() -> None:
        context.mesh.supervise_servers(seconds)
        await asyncio.sleep(0)

    run(context, begin())


@given(
    'a mesh of {count:d} {service} nodes, whose servers crash on "{path}" within {most_ms:d} ms '
    "and restart after {seconds:g} s"
)
def given_slowly_crashing_mesh(
    context: Any, count: int, service: str, path: str, most_ms: int, seconds: float
) -> None:
    """Start servers whose crashes take from 0 to ``most_ms`` milliseconds."""
    start_mesh(context, {service: count}, deadly=path)
    for number, each in enumerate(context.mesh.nodes):
        lingers_ms = number * most_ms / (count - 1)
        each.plan = attrs.evolve(each.plan, deadly_lingers_ms=lingers_ms)
        run(context, each.set_faults(deadly_lingers_ms=lingers_ms))
    restart_crashed_servers(context, seconds)


@given('a mesh of {count:d} {service} nodes, whose servers freeze on "{path}"')
def given_freezing_mesh(context: Any, count: int, service: str, path: str) -> None:
    start_mesh(context, {service: count}, deadly=path, deadly_freezes=True)


@given("{label} crash the nodes that serve them, which restart after {seconds:g} s")
def given_crashing_nodes(context: Any, label: str, seconds: float) -> None:
    async def supervise() -> None:
        context.mesh.kill_nodes_serving(f"{label}-", seconds)
        await asyncio.sleep(0)

    run(context, supervise())


@then("{label} took down at most {most:d} servers")
@then("{label} took down at most {most:d} nodes")
def crashed_at_most(context: Any, label: str, most: int) -> None:
    """Count the crashes by the runs in the servers' journals: each such run crashes its server."""
    rows = sorted(row for each in context.mesh.nodes for row in each.journal())
    crashes = [
        at - context.traffic_started_at
        for at, request, _ in rows
        if request.startswith(f"{label}-")
    ]
    assert (
        0 < len(crashes) <= most
    ), f"{len(crashes)} crashes, {crashes}\n{failure_details(context)}"


@then("{label} took down at most {most:d} servers later than {seconds:g} s after the third crash")
def crashed_late(context: Any, label: str, most: int, seconds: float) -> None:
    rows = sorted(row for each in context.mesh.nodes for row in each.journal())
    crashes = [at for at, request, _ in rows if request.startswith(f"{label}-")]
    late = [at for at in crashes if at > crashes[min(2, len(crashes) - 1)] + seconds]
    assert (
        crashes and len(late) <= most
    ), f"{len(late)} of {len(crashes)} crashes\n{failure_details(context)}"


@then("no attempt of a caller took down more than {most:d} servers")
def crashed_by_one_attempt(context: Any, most: int) -> None:
    """Count the runs by request id, which all tries of one attempt share."""
    runs = Counter(request for each in context.mesh.nodes for _, request, _ in each.journal())
    worst, count = max(
        ((request, count) for request, count in runs.items() if request.startswith("deadly-")),
        key=lambda item: item[1],
    )
    assert count <= most, (worst, count)


def last_results(context: Any, label: str, seconds: float) -> list[Any]:
    """Return the results of a label's calls in the last ``seconds`` of the planned traffic."""
    since = max(call.at_s for call in context.calls) - seconds
    return [result for result in results_of(context, label) if result.call.at_s >= since]


@then("at least {share:d}% of the {label} of the last {seconds:g} s completed")
def last_completed(context: Any, share: int, label: str, seconds: float) -> None:
    results = last_results(context, label, seconds)
    good = sum(result.outcome is Outcome.COMPLETED for result in results)
    assert results and good * 100 >= share * len(results), f"{good} of {len(results)}"


@then(
    "in the last {seconds:g} s each {label} was refused as not-run, "
    "to retry after {wait_s:g} s or more"
)
def last_refused(context: Any, seconds: float, label: str, wait_s: float) -> None:
    attempts = [
        each for result in last_results(context, label, seconds) for each in result.attempts
    ]
    bad = [
        attempt
        for attempt in attempts
        if attempt.outcome is not Outcome.NOT_RUN or (attempt.retry_after_ms or 0) < wait_s * 1000
    ]
    assert attempts and not bad, f"{len(bad)} of {len(attempts)}: {bad[:5]}"


@then("no node has logged a server crash")
def no_crash_detected(context: Any) -> None:
    lines = [line for line in node_lines(context) if "serving.server_ended" in line]
    assert not lines, lines[:3]


@then("no request was quarantined")
def nothing_held(context: Any) -> None:
    lines = [line for line in node_lines(context) if "quarantine.held" in line]
    assert not lines, lines[:3]


def node_lines(context: Any) -> list[str]:
    texts = [each.process.text() for each in context.mesh.nodes if each.process is not None]
    return [line for text in texts for line in text.splitlines()]
