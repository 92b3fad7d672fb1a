"""Steps that run a mesh of real processes, play traffic through it and break it meanwhile."""

import asyncio
import json
import tempfile
from pathlib import Path
from typing import Any

import attrs
from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]

from bench.load import Audit, Outcome, PlannedCall, StandInReport, audit, play
from standins.mesh import Mesh, MeshNode, make_plan

use_step_matcher("parse")

REGULAR = 0.97


def run(context: Any, work: Any) -> Any:
    """Run a coroutine on the scenario's event loop."""
    return context.runner.run(work)


def node(context: Any, name: str) -> MeshNode:
    """Return a node of the mesh by its name (``mapdesk-1``)."""
    return next(each for each in context.mesh.nodes if each.name == name)


def start_mesh(context: Any, services: dict[str, int]) -> None:
    """Start the mesh; it ends with the scenario."""
    folder = context.cleanup.enter_context(tempfile.TemporaryDirectory())
    context.runner = context.cleanup.enter_context(asyncio.Runner())
    tree = context.text or ""
    context.mesh = Mesh(Path(folder), make_plan(services), tree)
    context.cleanup.callback(lambda: run(context, context.mesh.stop()))
    context.calls = []
    context.results = []
    context.sent = 0
    run(context, context.mesh.start())
    run(context, context.mesh.ready())


@given("a mesh of {count:d} {service} nodes")
def given_mesh(context: Any, count: int, service: str) -> None:
    start_mesh(context, {service: count})


@given("a mixed mesh of {first:d} {one} and {second:d} {other} nodes")
def given_two_services(context: Any, first: int, one: str, second: int, other: str) -> None:
    start_mesh(context, {one: first, other: second})


@given("the backend server of {name} shows {faults}")
@when("the backend server of {name} shows {faults}")
def set_faults(context: Any, name: str, faults: str) -> None:
    run(context, node(context, name).set_faults(**json.loads(faults)))


@given("the store shows {faults}")
@when("the store shows {faults}")
def set_store_faults(context: Any, faults: str) -> None:
    run(context, context.mesh.store_json("POST", "/faults", json.loads(faults)))


def add_calls(context: Any, label: str, service: str, rate: float, seconds: float, **how: Any):
    """Plan calls at regular distances."""
    count = round(rate * seconds)
    for number in range(count):
        context.sent += 1
        name = f"{label}-{context.sent}"
        how["key"] = f"key-{name}" if how.get("keyed") else ""
        values = {key: value for key, value in how.items() if key != "keyed"}
        context.calls.append(
            PlannedCall(
                at_s=number / rate,
                request_id=name,
                service=service,
                label=label,
                **{"timeout_ms": 2000, **values},
            )
        )


@given("traffic: {rate:g} {label} a second of {service} for {seconds:g} s")
def plan_traffic(context: Any, rate: float, label: str, service: str, seconds: float) -> None:
    """Plan traffic; the table of the step, where there is one, sets more of each call."""
    how = {row["key"]: json.loads(row["value"]) for row in context.table or ()}
    add_calls(context, label, service, rate, seconds, **how)


async def act(context: Any, what: str, whom: str) -> None:
    """Make one thing go wrong, or right again."""
    match what:
        case "kill":
            await node(context, whom).kill()
        case "kill node":
            await node(context, whom).process.kill()
        case "kill server":
            await node(context, whom).server.kill()
        case "start node":
            await node(context, whom).start_node()
        case "freeze":
            node(context, whom).process.freeze()
        case "thaw":
            node(context, whom).process.thaw()
        case "stop":
            context.stops.append(asyncio.create_task(node(context, whom).process.stop()))
        case "store":
            await context.mesh.store_json("POST", "/faults", json.loads(whom))
        case _:
            name, _, faults = whom.partition(" ")
            assert what == "server", f"no action {what!r}"
            await node(context, name).set_faults(**json.loads(faults))


async def act_on_time(context: Any, rows: list[Any]) -> None:
    started = asyncio.get_running_loop().time()
    for row in rows:
        wait_s = started + float(row["at"]) - asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, wait_s))
        await act(context, row["what"], row["whom"])


async def play_traffic(context: Any, entries: list[str]) -> None:
    services = {call.service for call in context.calls}
    rows = list(context.table or ())
    context.stops = []
    acting = asyncio.create_task(act_on_time(context, rows))
    context.results = await play(context.calls, dict.fromkeys(services, entries))
    await acting
    context.exit_statuses = await asyncio.gather(*context.stops)


@when("while traffic enters by {names}")
@when("the traffic enters by {names}")
def play_by(context: Any, names: str) -> None:
    """Play what was planned, with the events of the table at their seconds."""
    wanted = names.split(" and ")
    nodes = [each for each in context.mesh.nodes if names == "all nodes" or each.name in wanted]
    run(context, play_traffic(context, [each.callers for each in nodes]))


@when("{seconds:g} s pass")
def wait(context: Any, seconds: float) -> None:
    run(context, asyncio.sleep(seconds))


@when("on {name} comes {what}")
def act_now(context: Any, name: str, what: str) -> None:
    run(context, act(context, what, name))


def audited(context: Any) -> Audit:
    report = StandInReport("all", *context.mesh.executions(), {})
    return audit(context.results, [report])


def told(context: Any) -> str:
    """Return what happened, for the message of a failed check."""
    rows = [
        f"{result.call.request_id}: {result.outcome} after {result.latency_ms:.0f} ms "
        f"{[attempt.reason for attempt in result.attempts]}"
        for result in context.results
        if result.outcome is not Outcome.COMPLETED
    ]
    return "\n".join([*rows[:20], context.mesh.output()])


@then("every promise is kept")
def every_promise(context: Any) -> None:
    """No wrong answer, no second run, no false "not run", no answer without a run."""
    found = audited(context)
    assert found.clean, f"{attrs.asdict(found)}\n{told(context)}"


def of_label(context: Any, label: str) -> list[Any]:
    return [result for result in context.results if result.call.label == label]


@then("all {label} completed")
def all_completed(context: Any, label: str) -> None:
    results = of_label(context, label)
    assert results, f"no call is labelled {label}"
    bad = [result for result in results if result.outcome is not Outcome.COMPLETED]
    assert not bad, f"{len(bad)} of {len(results)} not completed\n{told(context)}"


@then("at least {share:d}% of {label} completed")
def share_completed(context: Any, share: int, label: str) -> None:
    results = of_label(context, label)
    good = sum(result.outcome is Outcome.COMPLETED for result in results)
    assert good * 100 >= share * len(results), f"{good} of {len(results)}\n{told(context)}"


@then("{label} ended only as {outcomes}")
def ended_as(context: Any, label: str, outcomes: str) -> None:
    allowed = outcomes.split(" or ")
    bad = [result for result in of_label(context, label) if result.outcome not in allowed]
    assert not bad, f"{bad[0]}\n{told(context)}"


@then("some {label} ended as {outcome}")
def some_ended_as(context: Any, label: str, outcome: str) -> None:
    assert any(each.outcome == outcome for each in of_label(context, label)), told(context)


@then("the traffic was answered by {name} and by others")
def answered_by_many(context: Any, name: str) -> None:
    address = node(context, name).backend
    backends = {attempt.backend for each in context.results for attempt in each.attempts}
    assert address in backends and len(backends) > 1, backends
