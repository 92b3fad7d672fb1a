"""Steps for malformed heartbeats, store entries and headers from other programs."""

import asyncio
import json
from typing import Any

import cbor2
from behave import given, then, when  # type: ignore[attr-defined]

from features.steps.platform_node_steps import fleet_node, populate_fleet, run, start_fleet
from marjoramtide.claims._claim_record import ClaimRecord, decode_record
from marjoramtide.claims._claim_state import ClaimState
from marjoramtide.platform._backends import read_load
from marjoramtide.platform._store_protocol import PlatformStoreProtocol
from marjoramtide.serving import ServerLoad
from marjoramtide.store import CallOutcome, StoreResponse

INSTANCE = "i-1"
MISSING = "missing"
ENTRIES = 8
MALFORMED: list[Any] = [
    None,
    7,
    {},
    {"Metadata": {"Name": 5, "Revision": 2}},
    {"Metadata": {"Name": "x", "Revision": "2"}},
    {"Metadata": {"Name": "x", "Revision": 2}, "Specification": {"base64": "?"}},
    {"Metadata": {"Name": "x", "Revision": 2}, "Specification": {"text": "half a pair: \ud800"}},
    {"Metadata": {"Name": "half a pair: \udfff", "Revision": 2}, "Specification": {"text": "v"}},
]
BYTES = {
    "not UTF-8": b"\xff\xfe{",
    "cut short": b'{"Address":"10.0.0.1:80","Info":{"Ser',
    "nested deeply": b"[" * 60_000,
    "empty": b"",
    "a list": b"[1,2]",
    "larger than 64 KB": b" " * 70_000 + b"{}",
}


@given("a fleet on the platform whose server has not registered: {service}")
def given_unregistered(context: Any, service: str) -> None:
    fleet = start_fleet(context)
    run(context, populate_fleet(fleet, [service], instance=""))


def malformed(body: dict[str, Any], field: str, value: str) -> dict[str, Any]:
    """Return a heartbeat with one field replaced or removed."""
    *path, last = field.split(".")
    table = body
    for step in path:
        table = table[step]
    if value == MISSING:
        table.pop(last, None)
    else:
        table[last] = json.loads(value)
    return body


@when("a heartbeat arrives at node 1 whose {field:S} is {value}")
def when_spoiled(context: Any, field: str, value: str) -> None:
    registrant = fleet_node(context, 1).registrant
    body = malformed(registrant.body(), field, value)
    data = json.dumps(body).encode()
    context.status = run(context, registrant.call("PUT", INSTANCE, data))


@when('a heartbeat of the identity "{instance}" arrives at node 1')
def when_identity(context: Any, instance: str) -> None:
    registrant = fleet_node(context, 1).registrant
    plain = instance.replace("%0d%0a", "\r\n")
    context.status = run(context, registrant.call("PUT", plain, registrant.body()))


@then("it is refused with {status:d} and counted")
def then_refused(context: Any, status: int) -> None:
    assert context.status == status, context.status
    registrar = fleet_node(context, 1).node.server.registrar
    assert registrar is not None and registrar.rejected_count == 1


@then("node 1 refuses these heartbeats, and no server is registered")
def then_bytes_refused(context: Any) -> None:
    each = fleet_node(context, 1)
    for row in context.table:
        status = run(context, each.registrant.call("PUT", INSTANCE, BYTES[row["bytes"]]))
        assert status in (400, 413), (row["bytes"], status)
    assert each.node.server.registrar is not None and each.node.server.registrar.current is None


def stored(number: int) -> dict[str, Any]:
    return {
        "Metadata": {"Name": f"n-{number}", "Revision": number + 1},
        "Specification": {"text": f"value {number}"},
    }


def mixed() -> list[Any]:
    """Return valid and malformed entries alternately."""
    return [each for number in range(ENTRIES) for each in (stored(number), MALFORMED[number])]


def answer(body: Any) -> StoreResponse:
    return StoreResponse(200, {}, json.dumps(body).encode(), CallOutcome.DONE)


@when("the store answers a list of which every second entry is malformed")
def when_list(context: Any) -> None:
    body = {"items": mixed(), "HasMore": True, "CurrentRev": 9}
    context.page = PlatformStoreProtocol().read_page("announcements/", answer(body))


@then("the valid entries are read and the others counted")
def then_list(context: Any) -> None:
    values = [each.value for each in context.page.objects]
    assert values == [f"value {number}".encode() for number in range(ENTRIES)], values
    assert context.page.unreadable == ENTRIES
    assert context.page.after == f"n-{ENTRIES - 1}", context.page.after


@when("the store answers a watch of which every second change is malformed")
def when_watch(context: Any) -> None:
    events = [{"Removed": False, "Object": entry} for entry in mixed()]
    body = {"events": [*events, {"Removed": "no", "Object": stored(9)}, 3], "CurrentRev": 9}
    context.changes = PlatformStoreProtocol().read_events("announcements/", answer(body).body)


@then("the valid changes are read and the others counted")
def then_watch(context: Any) -> None:
    keys = [event.key for event in context.changes.events]
    assert keys == [f"announcements/n-{number}" for number in range(ENTRIES)], keys
    assert context.changes.unreadable == ENTRIES + 2


@given("malformed announcements in the store")
def given_announcements(context: Any) -> None:
    state = context.fleet.store.state
    (valid,) = state.kinds["announcements"].values()
    value = json.loads(valid["Specification"]["text"])
    malformed_values = [
        "{",
        "[]",
        json.dumps(value | {"gossip_address": 5}),
        json.dumps(value | {"refreshed": "now"}),
        json.dumps(value | {"node": ["a"]}),
        json.dumps(value | {"node": "another"}),
        json.dumps({key: each for key, each in value.items() if key != "service"}),
    ]
    for number, text in enumerate(malformed_values):
        state.put("announcements", f"spoiled-{number}", Specification={"text": text})
    state.put("announcements", "spoiled-table", Specification={"text": 7})


@when("another node starts")
def when_another(context: Any) -> None:
    context.newcomer = run(context, context.fleet.add_node("mapdesk"))


@then("it knows {count:d} nodes within {seconds:d} s")
def then_knows(context: Any, count: int, seconds: int) -> None:
    members = context.newcomer.node.membership.members

    async def wait() -> None:
        await context.fleet.wait_for(lambda: len(members()) == count, float(seconds))

    run(context, asyncio.wait_for(wait(), seconds + 1))


@then("these load headers are ignored")
def then_no_load(context: Any) -> None:
    accepted = [row["header"] for row in context.table if read_load(row["header"]) is not None]
    assert not accepted, accepted


@then(
    'the load header "{header}" says {running:d} running, {waiting:d} waiting, {slots:d} slots '
    "and {times:g} times as long"
)
def then_load(
    context: Any, header: str, running: int, waiting: int, slots: int, times: float
) -> None:
    assert read_load(header) == ServerLoad(running, waiting, slots, times), read_load(header)


@then("a stored claim with a field missing or of another type is not accepted as a claim")
def then_no_claim(context: Any) -> None:
    valid = ClaimRecord("attempt", "node", "digest", ClaimState.RELEASED, 5.0)
    assert decode_record(valid.encode()) == valid
    table = cbor2.loads(valid.encode())
    changed = [
        {"state": "freed"},
        {"state": 1},
        {"expires": "5"},
        {"expires": float("nan")},
        {"attempt": 4},
        {"status": True},
        {"headers": 3},
        {"headers": [["a", 1]]},
        {"body": "text"},
    ]
    values = [cbor2.dumps(table | change) for change in changed]
    values += [
        cbor2.dumps({key: each for key, each in table.items() if key != left_out})
        for left_out in ("attempt", "node", "digest", "state", "expires")
    ]
    values += [b"", b"\xff", cbor2.dumps([1]), b"\x81" * 5000]
    accepted = [value for value in values if decode_record(value) is not None]
    assert not accepted, accepted
