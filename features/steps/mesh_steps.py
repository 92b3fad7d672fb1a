"""Steps that run a mesh of node and server processes, send load through it and inject faults."""

import asyncio
import json
import tempfile
import time
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


def start_mesh(context: Any, services: dict[str, int], **plan: Any) -> None:
    """Start the mesh; it is stopped when the scenario ends.

    ``plan`` overrides fields in the plan of each pair of a node and its backend server.
    """
    folder = context.cleanup.enter_context(tempfile.TemporaryDirectory())
    context.runner = context.cleanup.enter_context(asyncio.Runner())
    tree = context.text or ""
    plans = [attrs.evolve(each, **plan) for each in make_plan(services)]
    context.mesh = Mesh(Path(folder), plans, tree)
    context.cleanup.callback(lambda: run(context, context.mesh.stop()))
    context.calls = []
    context.results = []
    context.sent = 0
    run(context, context.mesh.start())
    run(context, context.mesh.wait_until_ready())


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


def plan_calls(
    context: Any, label: str, service: str, rate: float, seconds: float, how: dict[str, Any]
) -> None:
    """Plan calls at a constant rate.

    ``how`` holds fields of the planned calls and three more options: ``keyed`` gives each call an
    idempotency key, ``twice`` sends each call twice at the same time with the same key, and
    ``from`` is the time of the first call, in seconds after the start of the traffic.
    """
    how = {"timeout_ms": 2000, **how}
    start, keyed, twice = (how.pop(name, 0) for name in ("from", "keyed", "twice"))
    for number in range(round(rate * seconds)):
        context.sent += 1
        name = f"{label}-{context.sent}"
        key = f"key-{name}" if keyed else ""
        call = PlannedCall(
            at_s=start + number / rate,
            request_id=name,
            service=service,
            label=label,
            key=key,
            **how,
        )
        context.calls += [call, attrs.evolve(call)] if twice else [call]


@given("traffic: {rate:g} {label} a second of {service} for {seconds:g} s")
def plan_traffic(context: Any, rate: float, label: str, service: str, seconds: float) -> None:
    """Plan traffic; the optional table of the step holds more fields and options of the calls."""
    how = {row["key"]: json.loads(row["value"]) for row in context.table or ()}
    plan_calls(context, label, service, rate, seconds, how)


async def apply_event(context: Any, what: str, whom: str) -> None:
    """Inject one fault, or end it."""
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
            context.stop_tasks.append(asyncio.create_task(node(context, whom).process.stop()))
        case "store":
            await context.mesh.store_json("POST", "/faults", json.loads(whom))
        case _:
            name, _, faults = whom.partition(" ")
            assert what == "server", f"unknown event {what!r}"
            await node(context, name).set_faults(**json.loads(faults))


async def apply_events(context: Any, rows: list[Any]) -> None:
    started_at = asyncio.get_running_loop().time()
    for row in rows:
        wait_s = started_at + float(row["at"]) - asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, wait_s))
        await apply_event(context, row["what"], row["whom"])


async def send_traffic(context: Any, entries: list[str]) -> None:
    services = {call.service for call in context.calls}
    rows = list(context.table or ())
    context.stop_tasks = []
    events = asyncio.create_task(apply_events(context, rows))
    context.traffic_started_at = time.time()
    context.results = await play(context.calls, dict.fromkeys(services, entries))
    await events
    context.exit_statuses = await asyncio.gather(*context.stop_tasks)


@when("while traffic enters by {names}")
@when("the traffic enters by {names}")
def send_traffic_by(context: Any, names: str) -> None:
    """Send the planned traffic, and apply each event of the table at its time."""
    wanted = names.split(" and ")
    nodes = [each for each in context.mesh.nodes if names == "all nodes" or each.name in wanted]
    run(context, send_traffic(context, [each.callers for each in nodes]))


@when("{seconds:g} s pass")
def wait(context: Any, seconds: float) -> None:
    run(context, asyncio.sleep(seconds))


@when("on {name} comes {what}")
def act_now(context: Any, name: str, what: str) -> None:
    run(context, apply_event(context, what, name))


def audit_results(context: Any) -> Audit:
    report = StandInReport("all", *context.mesh.executions(), {})
    return audit(context.results, [report])


def failure_details(context: Any) -> str:
    """Return the failed calls and the processes' output, for the message of a failed check."""
    rows = [
        f"{result.call.request_id}: {result.outcome} after {result.latency_ms:.0f} ms "
        f"{[attempt.reason for attempt in result.attempts]}"
        for result in context.results
        if result.outcome is not Outcome.COMPLETED
    ]
    rows.sort(key=lambda row: row.startswith("surveys"))
    return "\n".join([*rows[:30], context.mesh.output()])


@then("every promise is kept")
def no_violations(context: Any) -> None:
    """Check for wrong responses, duplicate runs, false "not run"s and successes without a run."""
    violations = audit_results(context)
    assert violations.is_clean, f"{attrs.asdict(violations)}\n{failure_details(context)}"


def results_of(context: Any, label: str) -> list[Any]:
    return [result for result in context.results if result.call.label == label]


@then("all {label} completed")
def all_completed(context: Any, label: str) -> None:
    results = results_of(context, label)
    assert results, f"no call has the label {label}"
    failed = [result for result in results if result.outcome is not Outcome.COMPLETED]
    assert not failed, f"{len(failed)} of {len(results)} not completed\n{failure_details(context)}"


@then("at least {share:d}% of {label} completed")
def share_completed(context: Any, share: int, label: str) -> None:
    results = results_of(context, label)
    good = sum(result.outcome is Outcome.COMPLETED for result in results)
    assert good * 100 >= share * len(
        results
    ), f"{good} of {len(results)}\n{failure_details(context)}"


@then("{label} ended only as {outcomes}")
def ended_only_as(context: Any, label: str, outcomes: str) -> None:
    allowed = outcomes.split(" or ")
    unexpected = [result for result in results_of(context, label) if result.outcome not in allowed]
    assert not unexpected, f"{unexpected[0]}\n{failure_details(context)}"


@then("no {label} that ended as {outcome} ran")
def none_ran(context: Any, label: str, outcome: str) -> None:
    by_request, _ = context.mesh.executions()
    ran = [
        result.call.request_id
        for result in results_of(context, label)
        if result.outcome == outcome and by_request[result.call.request_id]
    ]
    assert not ran, f"{ran}\n{failure_details(context)}"


@then("{name} ran nothing from second {second:g} on")
def ran_nothing(context: Any, name: str, second: float) -> None:
    rows = [
        row
        for row in node(context, name).journal()
        if row[0] >= context.traffic_started_at + second
    ]
    assert not rows, f"{[(at - context.traffic_started_at, request) for at, request, _ in rows]}"


def run_start_times(context: Any, name: str) -> list[float]:
    """Return when a server started each request, in seconds after the start of the traffic."""
    return [at - context.traffic_started_at for at, _, _ in node(context, name).journal()]


@then("{name} ran {least:d} to {most:d} in each 4 s from second {second:g} on")
def ran_in_windows(context: Any, name: str, least: int, most: int, second: float) -> None:
    times = run_start_times(context, name)
    last = max(call.at_s for call in context.calls)
    ends = [second + 0.1 * step for step in range(round((last - second) * 10))]
    counts = [sum(end - 4 < at <= end for at in times) for end in ends]
    assert max(counts) <= most, counts
    assert counts[-1] >= least, counts


@then("{name} ran nothing between second {first:g} and {second:g}")
def ran_nothing_between(context: Any, name: str, first: float, second: float) -> None:
    between = [at for at in run_start_times(context, name) if first < at < second]
    assert not between, between


@then("{name} had run some before")
def ran_some(context: Any, name: str) -> None:
    assert len(node(context, name).journal()) > 1, failure_details(context)


@then("every refusal came at once and told when to come back")
def refused_at_once(context: Any) -> None:
    """Check that each refusal took less than half of the timeout, which holds on a busy machine."""
    refused = [
        (result.call, attempt)
        for result in context.results
        for attempt in result.attempts
        if attempt.outcome is Outcome.NOT_RUN
    ]
    assert refused, "no attempt was refused"
    late = [
        attempt
        for call, attempt in refused
        if attempt.retry_after_ms is None or attempt.elapsed_ms > call.timeout_ms / 2
    ]
    assert not late, f"{late[:5]}\n{failure_details(context)}"


@then("{name} exited with status {status:d} and left nothing unfinished")
def exited_cleanly(context: Any, name: str, status: int) -> None:
    process = node(context, name).process
    assert (
        process.process.returncode == status
    ), f"{process.process.returncode}\n{failure_details(context)}"
    assert "daemon.stop_cut" not in process.text(), process.text()


@then("the endpoints of {name} were read at most {count:d} times and at least {least:d}")
def reads_within(context: Any, name: str, count: int, least: int) -> None:
    stats = run(context, node(context, name).server_json("stats"))
    reads = stats["health_reads"] + stats["load_reads"]
    assert least <= reads <= count, f"{reads} reads\n{failure_details(context)}"


@then("some {label} ended as {outcome}")
def some_ended_as(context: Any, label: str, outcome: str) -> None:
    assert any(each.outcome == outcome for each in results_of(context, label)), failure_details(
        context
    )


@then("the traffic was answered by {name} and by others")
def answered_by_many(context: Any, name: str) -> None:
    address = node(context, name).backend
    backends = {attempt.backend for each in context.results for attempt in each.attempts}
    assert address in backends and len(backends) > 1, backends
