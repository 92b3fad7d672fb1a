"""Steps that send bad input to real nodes, and that read what nodes tell of themselves."""

import asyncio
import itertools
import json
import os
import re
import socket
import threading
import time
from collections import Counter
from typing import Any

from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]

from bench.load import play
from features.edge.peer_attacks import ATTACKS, unknown_ids
from features.edge.recorder import Recorder
from standins.raw_caller import read_answer, send_raw, spell

use_step_matcher("parse")

# Ten lines a second of one kind are written; slower than that, each refusal has a line of its own.
PAUSE_S = 0.12
TRACE = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"
ATTACK_TIMEOUT_S = 6.0
REFUSALS = ("ingress.refused", "peers.refused", "peers.bad_frame", "ingress.caller_left")
METRIC = re.compile(r"[\w.-]+:[-+]?[\d.e-]+\|(c|ms|g)")


def find(context: Any, name: str) -> Any:
    """Return a node of the mesh."""
    return next(each for each in context.mesh.nodes if each.name == name)


def lines(node: Any, *events: str) -> list[dict[str, Any]]:
    """Return the log lines of a node, of some events only where any are named."""
    text = node.process.text().splitlines()
    rows = [json.loads(line) for line in text if line.startswith("{")]
    return [row for row in rows if not events or row["event"] in events]


def get(service: str, *headers: str, target: str = "/") -> bytes:
    """Return the bytes of a lookup."""
    fields = "".join(f"{header}\r\n" for header in headers)
    return f"GET {target} HTTP/1.1\r\nHost: {service}\r\n{fields}\r\n".encode()


async def until(condition: Any, timeout: float = 3.0) -> bool:
    """Poll until the condition holds; tell whether it did."""
    end = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > end:
            return False
        await asyncio.sleep(0.02)
    return True


async def one_line(node: Any, seen: int, events: tuple[str, ...]) -> list[dict[str, Any]]:
    """Return the lines of these events after the first ``seen``, once there is one."""
    await until(lambda: len(lines(node, *events)) > seen)
    return lines(node, *events)[seen:]


async def amid_traffic(context: Any, name: str, work: Any) -> list[str]:
    """Play the planned traffic while ``work`` runs, and return what ``work`` found."""
    entries = {call.service: [find(context, name).callers] for call in context.calls}
    playing = asyncio.create_task(play(context.calls, entries))
    found: list[str] = await work
    context.results = await playing
    return found


async def send_forms(node: Any, rows: list[Any]) -> list[str]:
    """Send each form and return what was not as its row says."""
    wrong = []
    for row in rows:
        seen = len(lines(node, *REFUSALS))
        answer = await send_raw(node.callers, spell(row["raw"]))
        told = await one_line(node, seen, REFUSALS)
        codes = [line["code"] for line in told]
        good = answer.statuses == [int(row["status"])] and codes == [row["code"]]
        if not (good and b"Request-Outcome: not-run" in answer.data and told[0]["step"]):
            wrong.append(f"{row['raw'][:90]}\n   {answer.statuses} {codes} {answer.data[:200]!r}")
        await asyncio.sleep(PAUSE_S)
    return wrong


@when("raw requests are sent to {name} amid the traffic")
def forms_amid_traffic(context: Any, name: str) -> None:
    rows = list(context.table)
    work = send_forms(find(context, name), rows)
    wrong = context.runner.run(amid_traffic(context, name, work))
    assert not wrong, "\n".join(wrong)


@then("no backend server saw more than the traffic")
def only_traffic(context: Any) -> None:
    requests, _ = context.mesh.executions()
    ours = {call.request_id for call in context.calls} | {"ready"}
    assert set(requests) <= ours, set(requests) - ours


@given("every backend server only records")
def record(context: Any) -> None:
    context.recorders = {}
    for node in context.mesh.nodes:
        context.runner.run(node.server.kill())
        recorder = Recorder(node.backend)
        context.cleanup.callback(recorder.stop)
        context.recorders[node.plan.service] = recorder


async def break_bodies(node: Any, rows: list[Any]) -> list[str]:
    wrong = []
    for row in rows:
        seen = len(lines(node, *REFUSALS))
        head = f"POST / HTTP/1.1\r\nHost: {row['service']}\r\n".encode()
        pieces = (head + spell(row["head"]) + b"\r\n\r\n", spell(row["body"]))
        silence_s = 0.2 if row["then"] == "close" else 1.0
        answer = await send_raw(node.callers, *pieces, silence_s=silence_s)
        codes = [line["code"] for line in await one_line(node, seen, REFUSALS)]
        statuses = [int(row["status"])] if row["status"] else []
        if answer.statuses != statuses or codes != [row["code"]]:
            wrong.append(f"{list(row)}\n   {answer.statuses} {codes} {answer.data[:300]!r}")
        await asyncio.sleep(PAUSE_S)
    return wrong


@when("bodies go wrong at {name}")
def bodies_go_wrong(context: Any, name: str) -> None:
    wrong = context.runner.run(break_bodies(find(context, name), list(context.table)))
    assert not wrong, "\n".join(wrong)


@then("no backend server was given a whole request")
def nothing_whole(context: Any) -> None:
    time.sleep(0.5)
    whole = [each for one in context.recorders.values() for each in one.records if each.whole]
    assert not whole, [each.raw[:200] for each in whole]


@then("a lookup of {service} by {name} is answered")
def lookup_answered(context: Any, service: str, name: str) -> None:
    call = send_raw(find(context, name).callers, get(service), silence_s=1.0)
    answer = context.runner.run(call)
    assert answer.statuses == [200], answer


@when("a caller sends {name} one byte a second")
def trickle(context: Any, name: str) -> None:
    node = find(context, name)
    pieces = (bytes((byte,)) for byte in get("mapdesk"))
    started = time.monotonic()
    call = send_raw(node.callers, *itertools.islice(pieces, 7), pause_s=1.0)
    context.answer = context.runner.run(call)
    context.took_s = time.monotonic() - started
    context.node = node


@then("its connection is closed within {seconds:g} s with one line of {code}")
def closed_in_time(context: Any, seconds: float, code: str) -> None:
    assert context.answer.closed and not context.answer.statuses, context.answer
    assert context.took_s < seconds, context.took_s
    found = [line for line in lines(context.node, "ingress.refused") if line["code"] == code]
    assert len(found) == 1 and found[0]["step"], found


async def ask_and_wait(address: str, service: str, size: int, seconds: float) -> Any:
    """Ask for a large answer, read nothing for some seconds, then read on to the end."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    target = f"/?bytes={size}"
    writer.write(get(service, "Request-Timeout-Ms: 1000", target=target))
    await asyncio.sleep(seconds)
    answer = await read_answer(reader, 1.0)
    writer.close()
    return answer


@when(
    "callers ask {name} for {size:d} bytes of {one} and {other} and read nothing for {seconds:g} s"
)
def stop_reading(context: Any, name: str, size: int, one: str, other: str, seconds: float) -> None:
    address = find(context, name).callers
    context.size = size

    async def both() -> Any:
        calls = [ask_and_wait(address, service, size, seconds) for service in (one, other)]
        return await asyncio.gather(*calls)

    context.answers = context.runner.run(both())


@then("each finds a part, an end, and a line of {code} at {name}")
def part_and_end(context: Any, code: str, name: str) -> None:
    for answer in context.answers:
        assert answer.closed and len(answer.data) < context.size, (answer.closed, len(answer.data))
    found = lines(find(context, name), "ingress.broken_off")
    assert [line["code"] for line in found] == [code, code], found


@when("a caller of {service} by {name} leaves amid a body, {seconds:d} s before its deadline")
def leave_amid_body(context: Any, service: str, name: str, seconds: int) -> None:
    head = f"POST / HTTP/1.1\r\nHost: {service}\r\nRequest-Timeout-Ms: {seconds}000\r\n"
    pieces = (f"{head}Content-Length: 200000\r\n\r\n".encode(), b"a" * 100000)
    answer = context.runner.run(send_raw(find(context, name).callers, *pieces))
    assert not answer.data and not answer.closed, answer


@then("{one} and {other} stop without cutting anything off")
def stop_both(context: Any, one: str, other: str) -> None:
    for node in (find(context, one), find(context, other)):
        assert context.runner.run(node.process.stop()) == 0
        events = [line["event"] for line in lines(node)]
        assert "daemon.stopped" in events and "daemon.stop_cut" not in events, events[-5:]


@when("raw requests are answered by recorders through {name}")
def through_recorders(context: Any, name: str) -> None:
    node = find(context, name)
    context.passed = []
    for row in context.table:
        recorder = context.recorders[row["service"]]
        recorder.reply = spell(row["answer"])
        head = get(row["service"])[:-2] + spell(row["headers"]) + b"\r\n\r\n"
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
    node = find(context, name)
    for row in context.table:
        context.recorders[row["service"]].reply = spell(row["answer"])
        first = get(row["service"]).replace(b"GET", row["method"].encode(), 1)
        second = get("nobody", "Connection: close")
        answer = context.runner.run(send_raw(node.callers, first + second, silence_s=1.5))
        assert answer.statuses == [int(row["status"]), 404], (row, answer)
        head, _, after = answer.data.partition(b"\r\n\r\n")
        assert after.startswith(b"HTTP/1.1 404 "), answer
        assert (row["method"] == "HEAD") == (b"Content-Length: 1000" in head), head


async def wait_and_send(address: str, size: int) -> tuple[bool, list[int]]:
    """Send a head, wait, and send the body where it was asked for."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = f"POST / HTTP/1.1\r\nHost: mapdesk\r\nExpect: 100-continue\r\nContent-Length: {size}"
    writer.write(head.encode() + b"\r\n\r\n")
    before = await read_answer(reader, 0.3)
    invited = before.data == b"HTTP/1.1 100 Continue\r\n\r\n"
    if invited:
        writer.write(b"a" * size)
    after = await read_answer(reader, 0.5)
    writer.close()
    return invited, before.statuses + after.statuses


@then("a waiting caller of {name} with {size:d} bytes {invited} invited and gets {status:d}")
def waiting_caller(context: Any, name: str, size: int, invited: str, status: int) -> None:
    found = context.runner.run(wait_and_send(find(context, name).callers, size))
    assert found == (invited == "is", [status]), found


async def attack_all(node: Any, rows: list[Any]) -> list[str]:
    """Play each attack and return what was not as its row says."""
    wrong = []
    for row in rows:
        seen = len(lines(node, "peers.refused", "peers.bad_frame", "peers.failed"))
        try:
            async with asyncio.timeout(ATTACK_TIMEOUT_S):
                await ATTACKS[row["attack"]](node.peers)
        except TimeoutError as error:
            wrong.append(f"{row['attack']}: {error}")
        told = await one_line(node, seen, ("peers.refused", "peers.bad_frame", "peers.failed"))
        found = [(line["event"], line["code"], bool(line.get("step"))) for line in told]
        if found != [(row["event"], row["code"], True)]:
            wrong.append(f"{row['attack']}: {found}")
        await asyncio.sleep(PAUSE_S)
    return wrong


@when("the peer port of {name} is attacked amid the traffic")
def attack_peer_port(context: Any, name: str) -> None:
    work = attack_all(find(context, name), list(context.table))
    wrong = context.runner.run(amid_traffic(context, name, work))
    assert not wrong, "\n".join([*wrong, context.mesh.output()])


@then("stray frames to {name} leave the next request on their connection alone")
def stray_frames(context: Any, name: str) -> None:
    frame = context.runner.run(unknown_ids(find(context, name).peers))
    assert frame[:3] == [3, 2, 200], frame[:3]


@when("{count:d} foreign datagrams reach the gossip port of {name}")
def foreign_datagrams(context: Any, count: int, name: str) -> None:
    host, _, port = find(context, name).gossip.rpartition(":")
    with socket.socket(type=socket.SOCK_DGRAM) as out:
        for number in range(count):
            out.sendto(os.urandom(1 + number * 37 % 1400), (host, int(port)))
    context.runner.run(asyncio.sleep(1.5))


@then("{name} has written at most {count:d} lines of datagram-dropped, each with a code")
def dropped_lines(context: Any, name: str, count: int) -> None:
    found = lines(find(context, name), "datagram-dropped")
    assert 1 <= len(found) <= count and all(line["code"] for line in found), found


@when("a traced request of {service} enters by {name}")
def traced_request(context: Any, service: str, name: str) -> None:
    data = get(service, f"Traceparent: {TRACE}")
    answer = context.runner.run(send_raw(find(context, name).callers, data, silence_s=1.0))
    assert answer.statuses == [200], answer


def spans(context: Any) -> list[dict[str, Any]]:
    """Return the spans of the traced request over all nodes, first to last."""
    trace_id = TRACE.split("-")[1]
    found = [line for node in context.mesh.nodes for line in lines(node, "span")]
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
    assert spans(context)[0]["parent_id"] == TRACE.split("-")[2]


@then("the backend server was told the last one as its parent")
def backend_parent(context: Any) -> None:
    last = spans(context)[-1]
    (told,) = [one.wait(1)[0] for one in context.recorders.values() if one.records]
    assert told.headers["traceparent"] == f"00-{last['trace_id']}-{last['span_id']}-01"


@then("a request with traceparent {value} leaves {count:d} spans at {name}")
def spans_left(context: Any, value: str, count: int, name: str) -> None:
    node = find(context, name)
    seen = len(lines(node, "span"))
    headers = [] if value == "none" else [f"Traceparent: {value}"]
    answer = context.runner.run(send_raw(node.callers, get("mapdesk", *headers)))
    assert answer.statuses == [200], answer
    found = lines(node, "span")[seen:]
    assert len(found) == count, found
    parents = {span["parent_id"] for span in found if span["name"] == "ingress"}
    continued = value.startswith("00-") and count
    assert not count or parents == {value.split("-")[2] if continued else ""}, found


async def lookups(address: str, data: bytes, count: int, workers: int = 20) -> list[int]:
    """Send ``count`` lookups over a few connections; return their statuses."""
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
    data = get(service, f"Traceparent: {TRACE}", "Request-Timeout-Ms: 5000")
    address = find(context, name).callers
    found = context.runner.run(lookups(address, data, count, workers=min(count, 5)))
    assert len(found) == count, len(found)


@then("{name} has begun at most {count:d} traces a second")
def bounded_traces(context: Any, name: str, count: int) -> None:
    found = [span for span in lines(find(context, name), "span") if span["name"] == "ingress"]
    took = max(span["start"] for span in found) - min(span["start"] for span in found)
    assert 0 < len(found) <= count * (int(took) + 2), (len(found), took)
    assert len(found) < 400, len(found)


def restart(context: Any, name: str, **extra: Any) -> None:
    """Start a node again with more settings."""
    node = find(context, name)
    context.runner.run(node.process.stop())
    node.extra.update(extra)
    context.runner.run(node.start_node())
    context.runner.run(context.mesh.ready())


@given("{name} writes its spans to a file")
def to_file(context: Any, name: str) -> None:
    context.trace_file = context.mesh.folder / "spans"
    restart(context, name, trace_file=str(context.trace_file))


@then("the file of {name} has {count:d} spans and its log has none")
def file_has(context: Any, name: str, count: int) -> None:
    rows = [json.loads(line) for line in context.trace_file.read_text().splitlines()]
    trace_id = TRACE.split("-")[1]
    found = [row for row in rows if row["event"] == "span" and row["trace_id"] == trace_id]
    assert len(found) == count, len(found)
    assert not [span for span in lines(find(context, name), "span") if span["trace_id"] == trace_id]


@when("{count:d} requests of an unknown host enter by {name} as fast as they can")
def flood(context: Any, count: int, name: str) -> None:
    started = time.monotonic()
    found = context.runner.run(lookups(find(context, name).callers, get("nobody"), count))
    context.took_s = time.monotonic() - started
    assert found == [404] * count, Counter(found)
    context.runner.run(asyncio.sleep(1.5))


@then("{name} wrote at most {rate:d} lines a second of them, and counted {count:d}")
def few_lines(context: Any, name: str, rate: int, count: int) -> None:
    node = find(context, name)
    written = [line for line in lines(node, "ingress.refused") if line["code"] == "unknown-service"]
    held = [line for line in lines(node, "log.suppressed") if line["code"] == "unknown-service"]
    assert len(written) + len(held) <= rate * (int(context.took_s) + 3), (len(written), len(held))
    assert len(written) + sum(line["count"] for line in held) == count, (len(written), held)


@when("much goes wrong at {name}")
def much_goes_wrong(context: Any, name: str) -> None:
    node = find(context, name)
    other = next(each for each in context.mesh.nodes if each is not node)

    async def trouble() -> None:
        await send_raw(node.callers, b"\x00garbage\r\n\r\n")
        await send_raw(node.callers, get("nobody"))
        await ATTACKS["another key"](node.peers)
        await ATTACKS["deep nesting"](node.peers)
        await other.kill()
        await lookups(node.callers, get("mapdesk", f"Traceparent: {TRACE}"), 40)
        await node.server.kill()
        await lookups(node.callers, get("mapdesk"), 40)
        await asyncio.sleep(1.5)
        await node.process.stop()

    context.runner.run(trouble())


@then("every line of {name} is JSON with event, level, timestamp and node")
def every_line(context: Any, name: str) -> None:
    text = find(context, name).process.text().splitlines()
    rows = [json.loads(line) for line in text]
    bad = [row for row in rows if not all(map(row.get, ("event", "level", "timestamp", "node")))]
    assert rows and not bad, bad[:3]
    context.rows = rows


@then("each of its refusals has code, step and peer")
def refusals_tell(context: Any) -> None:
    found = [row for row in context.rows if row["event"] in REFUSALS]
    kinds = {row["code"] for row in found}
    bad = [row for row in found if not (row["code"] and row["step"] and "peer" in row)]
    assert not bad, bad[:3]
    assert {"bad-request", "unknown-service", "bad-key", "bad-frame"} <= kinds, kinds


class Sink:
    """A UDP port in place of statsd."""

    def __init__(self, host: str) -> None:
        self.socket = socket.socket(type=socket.SOCK_DGRAM)
        self.socket.bind((host, 0))
        self.socket.settimeout(0.2)
        self.taken: list[tuple[float, str]] = []
        self.open = True
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self) -> None:
        while self.open:
            try:
                self.taken.append((time.monotonic(), self.socket.recv(65536).decode()))
            except TimeoutError:
                continue

    def stop(self) -> None:
        self.open = False
        self.thread.join()
        self.socket.close()


@given("{name} reports to a statsd sink")
def to_sink(context: Any, name: str) -> None:
    context.sink = Sink(context.mesh.host)
    context.cleanup.callback(context.sink.stop)
    host, port = context.sink.socket.getsockname()
    restart(context, name, statsd=f"{host}:{port}")
    context.runner.run(asyncio.sleep(1.5))
    context.before = completed(context)


def completed(context: Any) -> int:
    """Return the completed requests that the sink was told of; each line must be well formed."""
    metrics = [line for _, text in context.sink.taken for line in text.splitlines()]
    assert all(METRIC.fullmatch(line) for line in metrics), metrics
    values = [line.split(":")[1] for line in metrics if ".ingress.completed:" in line]
    return sum(int(value.partition("|")[0]) for value in values)


@when("{count:d} lookups of {service} enter by {name} in {seconds:g} s")
def paced_lookups(context: Any, count: int, service: str, name: str, seconds: float) -> None:
    async def paced() -> None:
        for _ in range(int(seconds * 10)):
            part = round(count / seconds / 10)
            found = await lookups(find(context, name).callers, get(service), part, workers=10)
            assert found == [200] * part, Counter(found)

    context.runner.run(paced())
    context.runner.run(asyncio.sleep(1.5))


@then("no second brought the sink more than {count:d} datagrams")
def few_datagrams(context: Any, count: int) -> None:
    times = [when for when, _ in context.sink.taken]
    busiest = max(sum(start <= when < start + 1 for when in times) for start in times)
    assert busiest <= count, Counter(int(when) for when in times)


@then("the sink counted {count:d} completed requests")
def sink_counted(context: Any, count: int) -> None:
    assert completed(context) - context.before == count, (completed(context), context.before)
