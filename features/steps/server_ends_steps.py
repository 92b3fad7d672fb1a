"""Steps for crashes of backend servers: suspected requests and their fingerprints."""

import asyncio
from typing import Any

import structlog
from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]

from features.steps.platform_node_steps import fleet_node, run
from marjoramtide.exchange import Fingerprinter, Request, RequestBody, inline_body, stream_body
from marjoramtide.serving import BackendState, HealthCheckResult, HttpTransport
from marjoramtide.serving._crash_detector import CrashDetector
from marjoramtide.serving._in_flight_request import InFlightRequest

use_step_matcher("parse")

EVENT_INTERVAL_S = 0.1
LATER_S = 2.0
KEY = "a key for tests on loopback only"


def make_request(name: str, now: float) -> InFlightRequest:
    return InFlightRequest(ord(name), f"id-{name}", f"GET /{name}", now)


@given("a backend server that runs {names}")
def given_detector(context: Any, names: str) -> None:
    context.detector = CrashDetector()
    context.now = 1.0
    context.suspects = []
    for name in names.split(" and "):
        context.detector.request_started(ord(name), make_request(name, context.now))


def apply_event(context: Any, event: str) -> list[InFlightRequest]:
    """Apply one event; return the requests that it makes suspects."""
    detector, now = context.detector, context.now
    what, _, name = event.rpartition(" ")
    match what, name:
        case "lost", _:
            return list(detector.request_lost(ord(name), by_server=True, now=now))
        case "given up", _:
            return list(detector.request_lost(ord(name), by_server=False, now=now))
        case "answered", _:
            detector.request_completed(ord(name), now)
        case _, "alive":
            detector.note_response(now, now)
        case _, "refused":
            return list(detector.connection_refused(now))
        case _, "unread":
            detector.health_check_failed(now)
            return list(detector.check_silence(now))
        case _, "still":
            return list(detector.check_silence(now))
        case _, "replaced":
            return list(detector.server_replaced())
        case _, "leaves":
            detector.server_leaving()
        case _, "later":
            context.now += LATER_S
        case _, "silent":
            pass
        case _:
            detector.request_started(ord(name), make_request(name, now))
    return []


@when("these events follow: {events}")
def apply_events(context: Any, events: str) -> None:
    for event in events.split(", "):
        context.now += EVENT_INTERVAL_S
        context.suspects += apply_event(context, event)


@then("the suspects are {names}")
def check_suspects(context: Any, names: str) -> None:
    wanted = [] if names == "none" else names.split(", ")
    found = sorted(run.label.removeprefix("GET /") for run in context.suspects)
    assert found == wanted, (found, wanted)


@given('requests for "{path}" crash the server of node {number:d}')
def given_crashing_requests(context: Any, path: str, number: int) -> None:
    fleet_node(context, number).server.faults.deadly = path


@when('a client requests "{path}" from node 1 while {count:d} other requests are in progress')
def request_among_others(context: Any, path: str, count: int) -> None:
    async def send_requests() -> None:
        first = fleet_node(context, 1)
        first.server.faults.slow_factor = 100.0
        others = [
            asyncio.create_task(context.fleet.call(first, f"/tiles/{number}"))
            for number in range(count)
        ]
        await context.fleet.wait_for(lambda: len(first.server.connections) >= count)
        await context.fleet.call(first, path)
        await asyncio.gather(*others)
        counts = first.node.metrics.all_counts
        await context.fleet.wait_for(lambda: "serving.server_ends" in counts())

    with structlog.testing.capture_logs() as context.lines:
        run(context, send_requests())


@then('the log lists {count:d} suspects, with the fingerprint and the path of "{path}"')
def check_logged_suspects(context: Any, count: int, path: str) -> None:
    lines = [line for line in context.lines if line["event"] == "serving.server_ended"]
    runs = [run for line in lines for run in line["runs"]]
    assert len(runs) == count, context.lines
    named = next(run for run in runs if run["what"] == f"GET {path}")
    assert len(named["fingerprint"]) == 16 and named["request"], named


@given("a server that crashes right after it has accepted one more connection")
def given_crashing_server(context: Any) -> None:
    context.runner = context.cleanup.enter_context(asyncio.Runner())
    context.refusals = 0

    async def start() -> None:
        def accepted(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            listener.close()
            writer.transport.abort()

        listener = await asyncio.start_server(accepted, "127.0.0.1", 0)
        host, port = listener.sockets[0].getsockname()
        context.transport = HttpTransport(f"{host}:{port}", 10)
        context.transport.on_connection_refused = lambda: note_refusal(context)

    context.runner.run(start())


def note_refusal(context: Any) -> None:
    context.refusals += 1


@when("a node that has lost a lookup probes the server")
def probe_server(context: Any) -> None:
    context.runner.run(context.transport.probe())


@then("it detects that the server refuses connections")
def check_refusal(context: Any) -> None:
    assert context.refusals == 1, context.refusals
    context.runner.run(context.transport.close())


@given("the server of node 1 has been silent during a lookup for {seconds:g} s")
def given_silent(context: Any, seconds: float) -> None:
    node = fleet_node(context, 1).node
    detector = node.serving.crash_monitor.detector
    node.server.health_checker.result_listener = None
    started_at = node.clock.monotonic() - seconds
    detector.last_response_at = started_at - 1
    detector.request_started(1, make_request("a", started_at))


@when("a health check of it fails, {when}")
def fail_health_check(context: Any, when: str) -> None:
    node = fleet_node(context, 1).node
    now = node.clock.monotonic()
    if "stopped" in when:
        node.freeze_detector.resumed_at = now

    async def note() -> None:
        node.server.record_health_check(
            HealthCheckResult(BackendState.DOWN, is_reachable=False), now - 1
        )

    run(context, note())


@then("{count:d} requests are suspected at node 1")
def check_suspect_count(context: Any, count: int) -> None:
    assert len(fleet_node(context, 1).node.quarantine.policy) == count


def fingerprint(context: Any) -> int:
    request = Request(
        "mapdesk",
        context.method,
        context.path,
        tuple(context.headers.items()),
        urgent=False,
        idempotent=True,
        deadline=context.deadline,
        request_id=context.request_id,
    )
    return Fingerprinter(context.key).of(request, context.body)


async def empty_chunks() -> Any:
    yield b""


@given('a GET of "{path}" with the body "{body}" by the caller "{caller}"')
def given_request(context: Any, path: str, body: str, caller: str) -> None:
    context.method, context.path, context.key = "GET", path, KEY
    context.body: RequestBody = inline_body(body.encode())
    context.headers = {"Host": "shop.example", "Authorization": caller}
    context.deadline, context.request_id = 1.0, "first"
    context.first = fingerprint(context)


@when("it is repeated with {change}")
def repeat_request(context: Any, change: str) -> None:
    what, _, value = change.rpartition(" ")
    value = value.strip('"')
    match what:
        case "another id and":
            context.request_id, context.deadline = "second", 2.0
        case "another":
            context.headers["Traceparent"] = "00-1-1-01"
        case "the body":
            context.body = inline_body(value.encode())
        case "the path":
            context.path = value
        case "the method":
            context.method = value
        case "the caller":
            context.headers["Authorization"] = value
        case "another fleet's":
            context.key = KEY + " elsewhere"
        case _:
            context.body = stream_body(empty_chunks(), 1 << 20)


@then("its fingerprint is {verdict}")
def check_fingerprint(context: Any, verdict: str) -> None:
    assert (fingerprint(context) == context.first) == (verdict == "the same")
