"""Steps on requests that end the backend servers that run them."""

import asyncio
from collections import Counter
from typing import Any

import attrs
from behave import given, then, use_step_matcher  # type: ignore[attr-defined]

from bench.load import Outcome
from features.steps.mesh_steps import of_label, run, start_mesh, told

use_step_matcher("parse")


@given(
    'a mesh of {count:d} {service} nodes, whose servers "{path}" ends '
    "and which are back after {seconds:g} s"
)
def given_mortal_mesh(context: Any, count: int, service: str, path: str, seconds: float) -> None:
    start_mesh(context, {service: count}, deadly=path)
    supervise(context, seconds)


def supervise(context: Any, seconds: float) -> None:
    async def begin() -> None:
        context.mesh.supervise_servers(seconds)
        await asyncio.sleep(0)

    run(context, begin())


@given(
    'a mesh of {count:d} {service} nodes, whose servers "{path}" ends within {most_ms:d} ms, '
    "back after {seconds:g} s"
)
def given_lingering(
    context: Any, count: int, service: str, path: str, most_ms: int, seconds: float
) -> None:
    """Start servers that take from none to ``most_ms`` milliseconds to end."""
    start_mesh(context, {service: count}, deadly=path)
    for number, each in enumerate(context.mesh.nodes):
        lingers_ms = number * most_ms / (count - 1)
        each.plan = attrs.evolve(each.plan, deadly_lingers_ms=lingers_ms)
        run(context, each.set_faults(deadly_lingers_ms=lingers_ms))
    supervise(context, seconds)


@given('a mesh of {count:d} {service} nodes, whose servers "{path}" freezes')
def given_freezing_mesh(context: Any, count: int, service: str, path: str) -> None:
    start_mesh(context, {service: count}, deadly=path, deadly_freezes=True)


@given("{label} end the nodes that serve them, which are back after {seconds:g} s")
def given_mortal_nodes(context: Any, label: str, seconds: float) -> None:
    async def supervise() -> None:
        context.mesh.kill_nodes_serving(f"{label}-", seconds)
        await asyncio.sleep(0)

    run(context, supervise())


@then("{label} ended at most {most:d} servers")
@then("{label} ended at most {most:d} nodes")
def ended_at_most(context: Any, label: str, most: int) -> None:
    """Each run of such a request ends the server that runs it, so the journals count the ends."""
    rows = sorted(row for each in context.mesh.nodes for row in each.journal())
    ends = [at - context.began for at, request, _ in rows if request.startswith(f"{label}-")]
    assert 0 < len(ends) <= most, f"{len(ends)} ends, {ends}\n{told(context)}"


@then("{label} ended at most {most:d} servers later than {seconds:g} s after the third end")
def ended_late(context: Any, label: str, most: int, seconds: float) -> None:
    rows = sorted(row for each in context.mesh.nodes for row in each.journal())
    ends = [at for at, request, _ in rows if request.startswith(f"{label}-")]
    late = [at for at in ends if at > ends[min(2, len(ends) - 1)] + seconds]
    assert ends and len(late) <= most, f"{len(late)} of {len(ends)} ends\n{told(context)}"


@then("no attempt of a caller ended more than {most:d} of them")
def ended_by_one(context: Any, most: int) -> None:
    """All tries of one attempt have its id."""
    runs = Counter(request for each in context.mesh.nodes for _, request, _ in each.journal())
    worst, count = max(
        ((request, count) for request, count in runs.items() if request.startswith("deadly-")),
        key=lambda item: item[1],
    )
    assert count <= most, (worst, count)


def last(context: Any, label: str, seconds: float) -> list[Any]:
    """Return the calls of a label that were planned for the last seconds of the traffic."""
    since = max(call.at_s for call in context.calls) - seconds
    return [result for result in of_label(context, label) if result.call.at_s >= since]


@then("at least {share:d}% of the {label} of the last {seconds:g} s completed")
def last_completed(context: Any, share: int, label: str, seconds: float) -> None:
    results = last(context, label, seconds)
    good = sum(result.outcome is Outcome.COMPLETED for result in results)
    assert results and good * 100 >= share * len(results), f"{good} of {len(results)}"


@then("in the last {seconds:g} s each {label} was refused as not-run, with {wait_s:g} s to wait")
def last_refused(context: Any, seconds: float, label: str, wait_s: float) -> None:
    attempts = [each for result in last(context, label, seconds) for each in result.attempts]
    bad = [
        attempt
        for attempt in attempts
        if attempt.outcome is not Outcome.NOT_RUN or (attempt.retry_after_ms or 0) < wait_s * 1000
    ]
    assert attempts and not bad, f"{len(bad)} of {len(attempts)}: {bad[:5]}"


@then("no node has told of the end of a server")
def none_told(context: Any) -> None:
    lines = [line for line in node_lines(context) if "serving.server_ended" in line]
    assert not lines, lines[:3]


@then("nothing was held back")
def nothing_held(context: Any) -> None:
    lines = [line for line in node_lines(context) if "quarantine.held" in line]
    assert not lines, lines[:3]


def node_lines(context: Any) -> list[str]:
    texts = [each.process.text() for each in context.mesh.nodes if each.process is not None]
    return [line for text in texts for line in text.splitlines()]
