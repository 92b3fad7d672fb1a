"""Steps that send malformed HTTP to nodes and check what reaches the backend servers."""

import asyncio
import itertools
import re
import time
from typing import Any

from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]

from features.edge.recorder import Recorder
from features.edge.watching import (
    LOG_LINE_INTERVAL_S,
    REFUSAL_EVENTS,
    during_traffic,
    find_node,
    get_request,
    log_lines,
    wait_for_log_lines,
)
from standins.raw_caller import read_response, send_raw, unescape

use_step_matcher("parse")


async def send_raw_requests(node: Any, rows: list[Any]) -> list[str]:
    """Send each raw request; return those whose response or log differs from their row."""
    wrong = []
    for row in rows:
        seen = len(log_lines(node, *REFUSAL_EVENTS))
        answer = await send_raw(node.callers, unescape(row["raw"]))
        refusals = await wait_for_log_lines(node, seen, REFUSAL_EVENTS)
        codes = [line["code"] for line in refusals]
        good = answer.statuses == [int(row["status"])] and codes == [row["code"]]
        if not (good and b"Request-Outcome: not-run" in answer.data and refusals[0]["step"]):
            wrong.append(f"{row['raw'][:90]}\n   {answer.statuses} {codes} {answer.data[:200]!r}")
        await asyncio.sleep(LOG_LINE_INTERVAL_S)
    return wrong


@when("raw requests are sent to {name} amid the traffic")
def raw_requests_amid_traffic(context: Any, name: str) -> None:
    rows = list(context.table)
    work = send_raw_requests(find_node(context, name), rows)
    wrong = context.runner.run(during_traffic(context, name, work))
    assert not wrong, "\n".join(wrong)


@then("no backend server saw more than the traffic")
def only_traffic(context: Any) -> None:
    requests, _ = context.mesh.executions()
    ours = {call.request_id for call in context.calls} | {"ready"}
    assert set(requests) <= ours, set(requests) - ours


@given("every backend server only records")
def record_requests(context: Any) -> None:
    context.recorders = {}
    for node in context.mesh.nodes:
        context.runner.run(node.server.kill())
        recorder = Recorder(node.backend)
        context.cleanup.callback(recorder.stop)
        context.recorders[node.plan.service] = recorder


async def break_bodies(node: Any, rows: list[Any]) -> list[str]:
    wrong = []
    for row in rows:
        seen = len(log_lines(node, *REFUSAL_EVENTS))
        head = f"POST / HTTP/1.1\r\nHost: {row['service']}\r\n".encode()
        pieces = (head + unescape(row["head"]) + b"\r\n\r\n", unescape(row["body"]))
        silence_s = 0.2 if row["then"] == "close" else 1.0
        answer = await send_raw(node.callers, *pieces, silence_s=silence_s)
        codes = [line["code"] for line in await wait_for_log_lines(node, seen, REFUSAL_EVENTS)]
        statuses = [int(row["status"])] if row["status"] else []
        if answer.statuses != statuses or codes != [row["code"]]:
            wrong.append(f"{list(row)}\n   {answer.statuses} {codes} {answer.data[:300]!r}")
        await asyncio.sleep(LOG_LINE_INTERVAL_S)
    return wrong


@when("bodies go wrong at {name}")
def bodies_go_wrong(context: Any, name: str) -> None:
    wrong = context.runner.run(break_bodies(find_node(context, name), list(context.table)))
    assert not wrong, "\n".join(wrong)


@then("no backend server was given a whole request")
def no_complete_request(context: Any) -> None:
    time.sleep(0.5)
    whole = [each for one in context.recorders.values() for each in one.records if each.whole]
    assert not whole, [each.raw[:200] for each in whole]


@then("a lookup of {service} by {name} is answered")
def lookup_answered(context: Any, service: str, name: str) -> None:
    call = send_raw(find_node(context, name).callers, get_request(service), silence_s=1.0)
    answer = context.runner.run(call)
    assert answer.statuses == [200], answer


@when("a caller sends {name} one byte a second")
def send_byte_by_byte(context: Any, name: str) -> None:
    node = find_node(context, name)
    pieces = (bytes((byte,)) for byte in get_request("mapdesk"))
    started = time.monotonic()
    call = send_raw(node.callers, *itertools.islice(pieces, 7), pause_s=1.0)
    context.answer = context.runner.run(call)
    context.took_s = time.monotonic() - started
    context.node = node


@then("its connection is closed within {seconds:g} s with one line of {code}")
def closed_in_time(context: Any, seconds: float, code: str) -> None:
    assert context.answer.closed and not context.answer.statuses, context.answer
    assert context.took_s < seconds, context.took_s
    found = [line for line in log_lines(context.node, "ingress.refused") if line["code"] == code]
    assert len(found) == 1 and found[0]["step"], found


async def read_after_delay(address: str, service: str, size: int, seconds: float) -> Any:
    """Request a large response, read nothing for some seconds, then read the rest."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    target = f"/?bytes={size}"
    writer.write(get_request(service, "Request-Timeout-Ms: 1000", target=target))
    await asyncio.sleep(seconds)
    answer = await read_response(reader, 1.0)
    writer.close()
    return answer


@when(
    "callers ask {name} for {size:d} bytes of {one} and {other} and read nothing for {seconds:g} s"
)
def stop_reading(context: Any, name: str, size: int, one: str, other: str, seconds: float) -> None:
    address = find_node(context, name).callers
    context.size = size

    async def both() -> Any:
        calls = [read_after_delay(address, service, size, seconds) for service in (one, other)]
        return await asyncio.gather(*calls)

    context.answers = context.runner.run(both())


@then("each finds a part, an end, and a line of {code} at {name}")
def partial_response(context: Any, code: str, name: str) -> None:
    for answer in context.answers:
        assert answer.closed and len(answer.data) < context.size, (answer.closed, len(answer.data))
    found = log_lines(find_node(context, name), "ingress.broken_off")
    assert [line["code"] for line in found] == [code, code], found


@when("a caller of {service} by {name} leaves amid a body, {seconds:d} s before its deadline")
def leave_amid_body(context: Any, service: str, name: str, seconds: int) -> None:
    head = f"POST / HTTP/1.1\r\nHost: {service}\r\nRequest-Timeout-Ms: {seconds}000\r\n"
    pieces = (f"{head}Content-Length: 200000\r\n\r\n".encode(), b"a" * 100000)
    answer = context.runner.run(send_raw(find_node(context, name).callers, *pieces))
    assert not answer.data and not answer.closed, answer


@then("{one} and {other} stop without cutting anything off")
def stop_both(context: Any, one: str, other: str) -> None:
    for node in (find_node(context, one), find_node(context, other)):
        assert context.runner.run(node.process.stop()) == 0
        events = [line["event"] for line in log_lines(node)]
        assert "daemon.stopped" in events and "daemon.stop_cut" not in events, events[-5:]


@when("raw requests are answered by recorders through {name}")
def through_recorders(context: Any, name: str) -> None:
    node = find_node(context, name)
    context.passed = []
    for row in context.table:
        recorder = context.recorders[row["service"]]
        recorder.reply = unescape(row["answer"])
        head = get_request(row["service"])[:-2] + unescape(row["headers"]) + b"\r\n\r\n"
        answer = context.runner.run(send_raw(node.callers, head, silence_s=1.0))
        assert answer.statuses == [200], answer
        context.passed.append((recorder.wait(1)[-1], answer))


@then("the backend servers got {kept} and none of {dropped}")
def backend_got(context: Any, kept: str, dropped: str) -> None:
    for record, _ in context.passed:
        head = record.raw.partition(b"\r\n\r\n")[0].lower()
        assert f"\r\n{kept.lower()}: ".encode() + "é".encode() in head, head
        there = [name for name in dropped.split(", ") if f"\n{name.lower()}:".encode() in head]
        assert not there and b"x-own" not in head, head


@then("the caller got {kept} and none of {dropped}")
def caller_got(context: Any, kept: str, dropped: str) -> None:
    for _, answer in context.passed:
        head = answer.data.lower()
        assert f"\r\n{kept.lower()}: ".encode() + "é".encode() in head, head
        there = [name for name in dropped.split(", ") if f"\n{name.lower()}:".encode() in head]
        assert not there and b"x-mine" not in head, head


@then("the caller was told {outcome} by {name}")
def caller_told(context: Any, outcome: str, name: str) -> None:
    for _, answer in context.passed:
        outcomes = re.findall(rb"request-outcome: (\S+)", answer.data.lower())
        nodes = re.findall(rb"marjoramtide-node: (\S+)", answer.data.lower())
        assert outcomes == [outcome.encode()], answer
        assert len(nodes) == 1 and nodes[0] != b"false", answer


@then("two requests on one connection to {name} get their own answers")
def two_answers(context: Any, name: str) -> None:
    node = find_node(context, name)
    for row in context.table:
        context.recorders[row["service"]].reply = unescape(row["answer"])
        first = get_request(row["service"]).replace(b"GET", row["method"].encode(), 1)
        second = get_request("nobody", "Connection: close")
        answer = context.runner.run(send_raw(node.callers, first + second, silence_s=1.5))
        assert answer.statuses == [int(row["status"]), 404], (row, answer)
        head, _, after = answer.data.partition(b"\r\n\r\n")
        assert after.startswith(b"HTTP/1.1 404 "), answer
        assert (row["method"] == "HEAD") == (b"Content-Length: 1000" in head), head


async def wait_and_send(address: str, size: int) -> tuple[bool, list[int]]:
    """Send a head, wait for 100 Continue, and send the body if it was received."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = f"POST / HTTP/1.1\r\nHost: mapdesk\r\nExpect: 100-continue\r\nContent-Length: {size}"
    writer.write(head.encode() + b"\r\n\r\n")
    before = await read_response(reader, 0.3)
    invited = before.data == b"HTTP/1.1 100 Continue\r\n\r\n"
    if invited:
        writer.write(b"a" * size)
    after = await read_response(reader, 0.5)
    writer.close()
    return invited, before.statuses + after.statuses


@then("a waiting caller of {name} with {size:d} bytes {invited} invited and gets {status:d}")
def waiting_caller(context: Any, name: str, size: int, invited: str, status: int) -> None:
    found = context.runner.run(wait_and_send(find_node(context, name).callers, size))
    assert found == (invited == "is", [status]), found
