"""Steps with real nodes whose callers authenticate with keys."""

import asyncio
import io
import time
from contextlib import redirect_stdout
from typing import Any

import aiohttp
import attrs
from behave import given, step, then, use_step_matcher, when  # type: ignore[attr-defined]

from features.platform_harness import BOUNDS, HOST_NAME, CallResult, FleetNode, route
from features.steps.platform_node_steps import run, start_fleet
from marjoramtide.exchange import Request
from marjoramtide.settings import key_digest, key_fingerprint
from standins.backend._service_time import ServiceTime
from standins.platform import FaultKind, StoreFault

use_step_matcher("parse")

KEYS = {"a1": "secret-of-acme-1", "a2": "secret-of-acme-2", "b1": "secret-of-beta-1"}
UNKNOWN_KEY = "secret-of-nobody"
REVOCATION_S = 2.0
REFUSAL = StoreFault(FaultKind.REFUSAL)
REQUEST_INTERVAL_S = 0.05
MAX_REFUSAL_S = 0.5
LARGE_BODY_BYTES = 10_000_000
SERVICE_TIME_MS = 300.0


@attrs.frozen(slots=True)
class KeyCall:
    """A request with a key: its time, in seconds after the start, and its result."""

    sent_s: float
    result: CallResult


def tenant(name: str, keys: list[str], **fields: Any) -> dict[str, Any]:
    return {"Name": name, "ApiKeys": keys, "RatePerS": 0, "Burst": 0, **fields}


def key_header(key: str) -> dict[str, str]:
    return {"Authorization": f"Token {key}"}


def start_workspace_fleet(context: Any) -> Any:
    fleet = start_fleet(context)
    fleet.tenants = [tenant("acme", [KEYS["a1"]]), tenant("beta", [KEYS["b1"]])]
    fleet.bounds = [*BOUNDS, "StrictRevoke=true", f"RevokeMs={REVOCATION_S * 1000:.0f}"]
    return fleet


@given("a fleet with workspaces: {services}")
def given_fleet(context: Any, services: str) -> None:
    fleet = start_workspace_fleet(context)
    context.version = 4

    async def begin() -> None:
        for service in services.split(", "):
            await fleet.add_node(service)
        fleet.configure(
            context.version,
            [
                route("/tiles/", {"mapdesk": 1}),
                route("/open/", {"mapdesk": 1}, AuthExempt=True),
                route("/called/", {services.split(", ")[-1]: 1}),
            ],
        )
        await fleet.settle()
        await fleet.wait_for(
            lambda: all(each.node.view.can_accept_keys for each in fleet.fleet_nodes)
        )

    run(context, begin())


@step("the nodes have been up for long")
def up_for_long(context: Any) -> None:
    for each in context.fleet.fleet_nodes:
        each.node.serving.running.process_started_at -= 3600


def headers_that_ran(context: Any) -> list[dict[str, str]]:
    return [
        headers for each in context.fleet.fleet_nodes for headers in each.server.executed_headers
    ]


@when('a caller with the key {key} that claims to be "{name}" asks each node')
def when_claims(context: Any, key: str, name: str) -> None:
    for each in context.fleet.fleet_nodes:
        headers = key_header(KEYS[key]) | {"X-Tenant-Name": name}
        result = run(context, context.fleet.call(each, headers=headers))
        assert result.status == 200, result


@then('each request ran for "{name}"')
def then_ran_for(context: Any, name: str) -> None:
    seen = headers_that_ran(context)
    assert len(seen) == len(context.fleet.fleet_nodes), seen
    assert all(headers.get("x-tenant-name") == name for headers in seen), seen


@step("no server received a key")
def no_key_received(context: Any) -> None:
    received = str(headers_that_ran(context))
    assert "secret-of" not in received and "authorization" not in received, received


@when("a caller begins to send a large body with {key}")
def when_large_body(context: Any, key: str) -> None:
    lines = {
        "no key": [],
        "an unknown key": [f"Authorization: Token {UNKNOWN_KEY}"],
        "a key of another scheme": [f"Authorization: Basic {KEYS['a1']}"],
        "an empty key": ["Authorization: Token "],
        "two keys": [f"Authorization: Token {KEYS['a1']}", f"Authorization: Token {KEYS['b1']}"],
    }[key]
    head = [
        "POST /tiles/7 HTTP/1.1",
        f"Host: {HOST_NAME}",
        "X-Attempt-Id: 0000000000000001",
        "X-Deadline-Ms: 1500",
        f"Content-Length: {LARGE_BODY_BYTES}",
        *lines,
    ]

    async def send() -> None:
        host, _, port = context.fleet.fleet_nodes[0].callers.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        started_at = time.monotonic()
        writer.write("\r\n".join([*head, "", "a part"]).encode())
        context.status = (await reader.readline()).split()[1].decode()
        context.took_s = time.monotonic() - started_at
        writer.close()

    run(context, send())


@then("it gets {status:d} at once")
def then_at_once(context: Any, status: int) -> None:
    assert context.status == str(status), context.status
    assert context.took_s < MAX_REFUSAL_S, context.took_s


@when('"{path}" is asked without a key, with an unknown one and with the key {key}')
def when_open(context: Any, path: str, key: str) -> None:
    fleet_node = context.fleet.fleet_nodes[0]
    for headers in ({}, key_header(UNKNOWN_KEY), key_header(KEYS[key])):
        result = run(context, context.fleet.call(fleet_node, path, headers=headers))
        assert result.status == 200, result


@then('each of them ran, for nobody, nobody and "{name}"')
def then_open(context: Any, name: str) -> None:
    assert [headers.get("x-tenant-name") for headers in headers_that_ran(context)] == [
        None,
        None,
        name,
    ]


async def call_on_behalf(context: Any, attempt: str, *, after: bool) -> CallResult:
    """Make a call on behalf of a request, while that runs or after it has ended."""
    fleet_node = context.fleet.fleet_nodes[0]
    fleet_node.server.service_time = ServiceTime(5.0 if after else SERVICE_TIME_MS, seed=1)
    parent = asyncio.create_task(
        context.fleet.call(fleet_node, attempt=attempt, headers=key_header(KEYS["a1"]))
    )
    if after:
        await parent
    else:
        await context.fleet.wait_for(
            lambda: fleet_node.node.serving.running.find(attempt) is not None
        )
    result = await context.fleet.call(fleet_node, "/called/1", attempt=f"{attempt}.1")
    await parent
    return result


@when("a request of acme runs on mapdesk, and its server makes a call")
def when_call(context: Any) -> None:
    context.call = run(context, call_on_behalf(context, "0000000000000002", after=False))


@when("a request of acme has run on mapdesk, and its server makes a call")
def when_late_call(context: Any) -> None:
    context.call = run(context, call_on_behalf(context, "0000000000000003", after=True))


@then("the call ran, with the identity of no workspace")
def then_call_ran(context: Any) -> None:
    assert context.call.status == 200, context.call
    headers = context.fleet.fleet_nodes[-1].server.executed_headers[-1]
    assert headers["x-attempt-id"].endswith(".1"), headers
    assert "x-tenant-name" not in headers, headers


@when("a call is made for a request that runs nowhere")
def when_call_without_run(context: Any) -> None:
    call = context.fleet.call(
        context.fleet.fleet_nodes[0], "/called/1", attempt="00000000000000ff.1"
    )
    context.call = run(context, call)


@then("it gets {status:d}")
@then("the call gets {status:d}")
def then_call_gets(context: Any, status: int) -> None:
    assert context.call.status == status, context.call


@when("the priority of acme is {priority:d}")
def when_priority(context: Any, priority: int) -> None:
    fleet = context.fleet
    fleet.tenants = [tenant("acme", [KEYS["a1"]], Priority=priority), tenant("beta", [KEYS["b1"]])]
    fleet.configure(context.version + 1)
    fleet_node = fleet.fleet_nodes[0]
    run(context, fleet.wait_for(lambda: fleet_node.node.view.revision == context.version + 1))


@then("a request of acme is urgent, and one of beta goes by its route")
def then_priority(context: Any) -> None:
    fleet_node = context.fleet.fleet_nodes[0]
    admitted: list[Request] = []
    dispatch = fleet_node.node.dispatcher.dispatch

    async def record(request: Request, *rest: Any) -> Any:
        admitted.append(request)
        return await dispatch(request, *rest)

    fleet_node.node.ingress.dispatcher = type(
        "RecordingDispatcher", (), {"dispatch": staticmethod(record)}
    )
    for key in ("a1", "b1"):
        run(context, context.fleet.call(fleet_node, headers=key_header(KEYS[key])))
    assert [(each.urgent, each.rank) for each in admitted] == [(True, 0), (False, 1)], admitted


@when("callers with good keys, unknown ones and none ask each node")
def when_various_callers(context: Any) -> None:
    context.output = io.StringIO()

    async def ask() -> None:
        for each in context.fleet.fleet_nodes:
            for headers in (key_header(KEYS["a1"]), key_header(UNKNOWN_KEY), {}):
                result = await context.fleet.call(each, headers=headers)
                context.output.write(f"{result.headers} {result.body!r}")
            context.output.write(await operator_pages(each))

    with redirect_stdout(context.output):
        run(context, ask())


async def operator_pages(fleet_node: FleetNode) -> str:
    """Return what the operators' pages and the metrics of a node show."""
    pages = [
        f"http://{fleet_node.settings.operators}{path}"
        for path in ("/status", "/settings", "/explain?service=mapdesk", "/workspaces")
    ]
    async with aiohttp.ClientSession() as session:
        texts = []
        for page in [*pages, f"http://{fleet_node.settings.metrics}/metrics"]:
            async with session.get(page) as response:
                texts.append(await response.text())
    return "\n".join(texts)


@then("no key is in the log, the answers, the metrics, or what operators are shown")
def then_no_key(context: Any) -> None:
    output = context.output.getvalue()
    assert "ingress.refused" in output, "the log was not captured"
    assert key_fingerprint(key_digest(UNKNOWN_KEY)) in output, "the refused key has no fingerprint"
    assert "secret-of" not in output, output[output.index("secret-of") - 200 :][:300]


@when("a version removes the key a1 and adds the key a2")
def when_replaced(context: Any) -> None:
    set_keys_of_acme(context, [KEYS["a2"]])
    run(context, asyncio.sleep(REVOCATION_S))


def store_address_of(fleet_node: FleetNode) -> str:
    """Return the address at which a node reaches the store."""
    return fleet_node.settings.store.removeprefix("http://")


def set_keys_of_acme(context: Any, keys: list[str]) -> None:
    context.version += 1
    context.fleet.tenants = [tenant("acme", keys), tenant("beta", [KEYS["b1"]])]
    context.fleet.configure(context.version)


@then("after 2 s each node answers 401 to a1 and 200 to a2")
def then_replaced(context: Any) -> None:
    for each in context.fleet.fleet_nodes:
        for key, status in (("a1", 401), ("a2", 200)):
            result = run(context, context.fleet.call(each, headers=key_header(KEYS[key])))
            assert result.status == status, (each.settings.name, key, result)


@when("a version removes the key a1 while the store rejects node {number:d}")
def when_removed_while_rejected(context: Any, number: int) -> None:
    address = store_address_of(context.fleet.fleet_nodes[number - 1])
    context.fleet.store.set_fault(address, REFUSAL)
    set_keys_of_acme(context, [])
    run(context, asyncio.sleep(REVOCATION_S))


@then("after 2 s node {number:d} answers 401 to a1")
def then_removed(context: Any, number: int) -> None:
    call = context.fleet.call(context.fleet.fleet_nodes[number - 1], headers=key_header(KEYS["a1"]))
    result = run(context, call)
    assert result.status == 401, result


async def send_requests(
    context: Any, fleet_nodes: list[FleetNode], path: str, seconds: float
) -> list[KeyCall]:
    """Send requests with the key a1 to each of the nodes at a constant rate."""
    started_at = time.monotonic()

    async def call(each: FleetNode) -> KeyCall:
        sent_s = time.monotonic() - started_at
        return KeyCall(sent_s, await context.fleet.call(each, path, headers=key_header(KEYS["a1"])))

    tasks = []
    while time.monotonic() - started_at < seconds:
        tasks += [asyncio.create_task(call(each)) for each in fleet_nodes]
        await asyncio.sleep(REQUEST_INTERVAL_S)
    return await asyncio.gather(*tasks)


@when("the store is away for 3.5 s while callers come to all nodes with the key a1")
def when_store_away(context: Any) -> None:
    fleet = context.fleet

    async def play() -> None:
        fleet.store.mode = "refuse"
        context.calls, context.open_calls = await asyncio.gather(
            send_requests(context, fleet.fleet_nodes, "/tiles/7", 3.5),
            send_requests(context, fleet.fleet_nodes[:1], "/open/7", 3.5),
        )
        fleet.store.mode = "up"
        await asyncio.sleep(1.0)
        context.after = [
            await fleet.call(each, headers=key_header(KEYS["a1"])) for each in fleet.fleet_nodes
        ]

    run(context, play())


@then("none of them that was sent later than 2 s after it began ran")
def then_none_ran(context: Any) -> None:
    context.late = [each for each in context.calls if each.sent_s > REVOCATION_S]
    assert context.late, "no call was sent so late"
    attempts = {headers["x-attempt-id"] for headers in headers_that_ran(context)}
    wrong = [each for each in context.late if each.result.attempt in attempts]
    assert not wrong, wrong
    assert any(each.result.status == 200 for each in context.calls), "nothing was served at all"


@step("each of these was refused as not run, with a retry hint")
def refused_as_not_run(context: Any) -> None:
    wrong = [
        each
        for each in context.late
        if each.result.status != 503 or float(each.result.headers.get("Retry-After", 0)) <= 0
    ]
    assert not wrong, wrong


@step("what needs no key ran all the while")
def open_ran(context: Any) -> None:
    wrong = [each for each in context.open_calls if each.result.status != 200]
    assert not wrong, wrong


@step("1 s after the store is back callers with the key a1 are served")
def served_again(context: Any) -> None:
    assert all(result.status == 200 for result in context.after), context.after


@when("the store rejects node {number:d} for 3 s while callers come to it with the key a1")
def when_rejected(context: Any, number: int) -> None:
    fleet_node = context.fleet.fleet_nodes[number - 1]

    async def play() -> None:
        context.fleet.store.set_fault(store_address_of(fleet_node), REFUSAL)
        context.calls = await send_requests(context, [fleet_node], "/tiles/7", 3.0)
        context.fleet.store.set_fault(store_address_of(fleet_node), None)

    run(context, play())


@then("at least {share:d} in 100 of them are served")
def then_served(context: Any, share: int) -> None:
    good = sum(each.result.status == 200 for each in context.calls)
    assert good * 100 >= share * len(context.calls), (good, len(context.calls))
