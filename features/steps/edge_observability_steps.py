"""Steps for the logs, metrics and spans of nodes."""

import asyncio
import itertools
import json
import os
import re
import time
from collections import Counter
from typing import Any

from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]

from features.edge.peer_attacks import ATTACKS
from features.edge.sink import StatsdSink
from features.edge.watching import REFUSAL_EVENTS, TRACEPARENT, find_node, get_request, log_lines
from marjoramtide.telemetry._line_output import NonBlockingOutput
from standins.raw_caller import send_raw

use_step_matcher("parse")

METRIC = re.compile(r"[\w.-]+:[-+]?[\d.e-]+\|(c|ms|g)")


@when("a traced request of {service} enters by {name}")
def traced_request(context: Any, service: str, name: str) -> None:
    data = get_request(service, f"Traceparent: {TRACEPARENT}")
    answer = context.runner.run(send_raw(find_node(context, name).callers, data, silence_s=1.0))
    assert answer.statuses == [200], answer


def spans(context: Any) -> list[dict[str, Any]]:
    """Return the spans of the traced request from all nodes, in order."""
    trace_id = TRACEPARENT.split("-")[1]
    found = [line for node in context.mesh.nodes for line in log_lines(node, "span")]
    mine = [span for span in found if span["trace_id"] == trace_id]
    order = {"ingress": 0, "attempt": 1, "serving": 2}
    return sorted(mine, key=lambda span: order[span["name"]])


@then(
    "its spans are ingress and attempt on {first} and serving on {second}, "
    "each the child of the one before"
)
def spans_join(context: Any, first: str, second: str) -> None:
    found = spans(context)
    assert [span["name"] for span in found] == ["ingress", "attempt", "serving"], found
    assert found[0]["node"] == found[1]["node"] != found[2]["node"], found
    parents = [span["parent_id"] for span in found[1:]]
    assert parents == [span["span_id"] for span in found[:-1]], found


@then("the first is the child of the caller's span")
def child_of_caller(context: Any) -> None:
    assert spans(context)[0]["parent_id"] == TRACEPARENT.split("-")[2]


@then("the backend server was told the last one as its parent")
def backend_parent(context: Any) -> None:
    last = spans(context)[-1]
    (record,) = [one.wait(1)[0] for one in context.recorders.values() if one.records]
    assert record.headers["traceparent"] == f"00-{last['trace_id']}-{last['span_id']}-01"


@then("a request with traceparent {value} leaves {count:d} spans at {name}")
def spans_left(context: Any, value: str, count: int, name: str) -> None:
    node = find_node(context, name)
    seen = len(log_lines(node, "span"))
    headers = [] if value == "none" else [f"Traceparent: {value}"]
    answer = context.runner.run(send_raw(node.callers, get_request("mapdesk", *headers)))
    assert answer.statuses == [200], answer
    found = log_lines(node, "span")[seen:]
    assert len(found) == count, found
    parents = {span["parent_id"] for span in found if span["name"] == "ingress"}
    continued = value.startswith("00-") and count
    assert not count or parents == {value.split("-")[2] if continued else ""}, found


async def lookups(address: str, data: bytes, count: int, workers: int = 20) -> list[int]:
    """Send ``count`` requests over ``workers`` connections; return their statuses."""
    host, _, port = address.rpartition(":")

    async def work(number: int) -> list[int]:
        reader, writer = await asyncio.open_connection(host, int(port))
        statuses = []
        for _ in range(number):
            writer.write(data)
            head = await reader.readuntil(b"\r\n\r\n")
            length = re.search(rb"Content-Length: (\d+)", head)
            await reader.readexactly(int(length[1]) if length else 0)
            statuses.append(int(head.split(b" ")[1]))
        writer.close()
        return statuses

    parts = await asyncio.gather(*(work(count // workers) for _ in range(workers)))
    return list(itertools.chain(*parts))


@when("{count:d} traced lookups of {service} enter by {name} at once")
def traced_lookups(context: Any, count: int, service: str, name: str) -> None:
    data = get_request(service, f"Traceparent: {TRACEPARENT}", "Request-Timeout-Ms: 5000")
    address = find_node(context, name).callers
    found = context.runner.run(lookups(address, data, count, workers=min(count, 5)))
    assert len(found) == count, len(found)


@then("{name} has begun at most {count:d} traces a second")
def bounded_traces(context: Any, name: str, count: int) -> None:
    found = [
        span for span in log_lines(find_node(context, name), "span") if span["name"] == "ingress"
    ]
    took = max(span["start"] for span in found) - min(span["start"] for span in found)
    assert 0 < len(found) <= count * (int(took) + 2), (len(found), took)
    assert len(found) < 400, len(found)


def restart(context: Any, name: str, **extra: Any) -> None:
    """Restart a node with additional settings."""
    node = find_node(context, name)
    context.runner.run(node.process.stop())
    node.extra_settings.update(extra)
    context.runner.run(node.start_node())
    context.runner.run(context.mesh.wait_until_ready())


@given("{name} writes its spans to a file")
def to_file(context: Any, name: str) -> None:
    context.trace_file = context.mesh.folder / "spans"
    restart(context, name, trace_file=str(context.trace_file))


@then("the file of {name} has {count:d} spans and its log has none")
def file_has(context: Any, name: str, count: int) -> None:
    rows = [json.loads(line) for line in context.trace_file.read_text().splitlines()]
    trace_id = TRACEPARENT.split("-")[1]
    found = [row for row in rows if row["event"] == "span" and row["trace_id"] == trace_id]
    assert len(found) == count, len(found)
    assert not [
        span for span in log_lines(find_node(context, name), "span") if span["trace_id"] == trace_id
    ]


@when("{count:d} requests of an unknown host enter by {name} without a pause")
def flood(context: Any, count: int, name: str) -> None:
    started = time.monotonic()
    found = context.runner.run(
        lookups(find_node(context, name).callers, get_request("nobody"), count)
    )
    context.took_s = time.monotonic() - started
    assert found == [404] * count, Counter(found)
    context.runner.run(asyncio.sleep(1.5))


@then("{name} wrote at most {rate:d} lines a second of them, and counted {count:d}")
def limited_lines(context: Any, name: str, rate: int, count: int) -> None:
    node = find_node(context, name)
    written = [
        line for line in log_lines(node, "ingress.refused") if line["code"] == "unknown-service"
    ]
    held = [line for line in log_lines(node, "log.suppressed") if line["code"] == "unknown-service"]
    assert len(written) + len(held) <= rate * (int(context.took_s) + 3), (len(written), len(held))
    assert len(written) + sum(line["count"] for line in held) == count, (len(written), held)


@when("a series of failures happens at {name}")
def cause_failures(context: Any, name: str) -> None:
    node = find_node(context, name)
    other = next(each for each in context.mesh.nodes if each is not node)

    async def fail() -> None:
        await send_raw(node.callers, b"\x00garbage\r\n\r\n")
        await send_raw(node.callers, get_request("nobody"))
        await ATTACKS["another key"](node.peers)
        await ATTACKS["deep nesting"](node.peers)
        await other.kill()
        await lookups(node.callers, get_request("mapdesk", f"Traceparent: {TRACEPARENT}"), 40)
        await node.server.kill()
        await lookups(node.callers, get_request("mapdesk"), 40)
        await asyncio.sleep(1.5)
        await node.process.stop()

    context.runner.run(fail())


@then("every line of {name} is JSON with event, level, timestamp and node")
def every_line(context: Any, name: str) -> None:
    text = find_node(context, name).process.text().splitlines()
    rows = [json.loads(line) for line in text]
    bad = [row for row in rows if not all(map(row.get, ("event", "level", "timestamp", "node")))]
    assert rows and not bad, bad[:3]
    context.rows = rows


@then("each of its rejections has code, step and peer")
def rejections_complete(context: Any) -> None:
    found = [row for row in context.rows if row["event"] in REFUSAL_EVENTS]
    kinds = {row["code"] for row in found}
    bad = [row for row in found if not (row["code"] and row["step"] and "peer" in row)]
    assert not bad, bad[:3]
    assert {"bad-request", "unknown-service", "bad-key", "bad-frame"} <= kinds, kinds


@given("{name} reports to a statsd sink")
def to_sink(context: Any, name: str) -> None:
    context.sink = StatsdSink(context.mesh.host)
    context.cleanup.callback(context.sink.stop)
    host, port = context.sink.socket.getsockname()
    restart(context, name, statsd=f"{host}:{port}")
    context.runner.run(asyncio.sleep(1.5))
    context.before = completed(context)


def completed(context: Any) -> int:
    """Return the completed requests that the sink counted; asserts that each line is valid."""
    metrics = [line for _, text in context.sink.datagrams for line in text.splitlines()]
    assert all(METRIC.fullmatch(line) for line in metrics), metrics
    values = [line.split(":")[1] for line in metrics if ".ingress.completed:" in line]
    return sum(int(value.partition("|")[0]) for value in values)


@when("{count:d} lookups of {service} enter by {name} in {seconds:g} s")
def paced_lookups(context: Any, count: int, service: str, name: str, seconds: float) -> None:
    async def paced() -> None:
        for _ in range(int(seconds * 10)):
            part = round(count / seconds / 10)
            found = await lookups(
                find_node(context, name).callers, get_request(service), part, workers=10
            )
            assert found == [200] * part, Counter(found)

    context.runner.run(paced())
    context.runner.run(asyncio.sleep(1.5))


@then("no second brought the sink more than {count:d} datagrams")
def few_datagrams(context: Any, count: int) -> None:
    times = [when for when, _ in context.sink.datagrams]
    busiest = max(sum(start <= when < start + 1 for when in times) for start in times)
    assert busiest <= count, Counter(int(when) for when in times)


@then("the sink counted {count:d} completed requests")
def sink_counted(context: Any, count: int) -> None:
    assert completed(context) - context.before == count, (completed(context), context.before)


@given("a log output that writes to a pipe that is not read")
def given_pipe(context: Any) -> None:
    context.pipe = os.pipe()
    context.output = NonBlockingOutput(context.pipe[1])
    context.cleanup.callback(os.close, context.pipe[1])


@when("{count:d} lines are written to it, and {more:d} more after the pipe's reader has closed")
def write_lines(context: Any, count: int, more: int) -> None:
    for number in range(count):
        context.output.write(json.dumps({"number": number, "text": "a" * 100}) + "\n")
    context.read = os.read(context.pipe[0], 1 << 20)
    os.close(context.pipe[0])
    for _ in range(more):
        context.output.write("{}\n")
    context.written = count + more


@then("the first lines can be read, and the others are counted as lost")
def lines_lost(context: Any) -> None:
    numbers = [json.loads(line)["number"] for line in context.read.decode().splitlines()]
    assert numbers == list(range(len(numbers))) and len(numbers) > 100, len(numbers)
    assert len(numbers) + context.output.lost_lines == context.written, context.output.lost_lines
