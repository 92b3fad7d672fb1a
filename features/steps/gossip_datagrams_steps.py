"""Steps for datagrams that must be dropped, and the log lines about them."""

import random
from collections.abc import Callable
from typing import Any

import cbor2
from behave import then, when
from structlog.testing import capture_logs

from features.gossip_scenarios import node_of
from marjoramtide.membership import DropCode, PacketCodec
from marjoramtide.membership._drop_log import DropLog
from standins.gossip_network import KEY, Network


def seal(body: bytes, key: str = KEY) -> bytes:
    """Return ``body`` with a valid MAC prepended."""
    return PacketCodec(key).mac(body) + body


def blocked_ping(context: Any, sender: int, receiver: int) -> bytes:
    """Return a ping that was sent but blocked by the network."""
    network = context.network
    previous, network.is_blocked = network.is_blocked, lambda source, target: True
    node = node_of(context, sender)
    target = node.core.view.entries[node_of(context, receiver).core.key]
    node.core.detector.ping(target, node.core.detector.next_number())
    network.flush(node)
    network.is_blocked = previous
    return network.sent[-1][2]


def with_field(data: bytes, index: int, value: Any) -> bytes:
    """Return a copy of a datagram with one field changed and a valid MAC."""
    wire = cbor2.loads(data[16:])
    wire[index] = value
    return seal(cbor2.dumps(wire))


def stolen_key_record(context: Any) -> bytes:
    network = context.network
    stranger = Network(99).start_node("stranger", address="10.9.9.9:7100").core
    stranger.own.key = 12345
    sender = node_of(context, 2).core
    sender.disseminator.send_records(
        node_of(context, 1).address, 0, [stranger.own], network.clock.now
    )
    return sender.drain()[-1][1]


def seen_before(context: Any) -> bytes:
    data = blocked_ping(context, 2, 1)
    context.network.inject(data, node_of(context, 2).address, node_of(context, 1))
    return data


def other_fleet(context: Any) -> bytes:
    return seal(blocked_ping(context, 2, 1)[16:], "the key of another fleet")


def one_bit_changed(context: Any) -> bytes:
    data = bytearray(blocked_ping(context, 2, 1))
    data[40] ^= 1
    return bytes(data)


BAD_DATAGRAMS: dict[str, Callable[[Any], bytes]] = {
    "300 random bytes": lambda context: random.Random(1).randbytes(300),
    "an empty datagram": lambda context: b"",
    "a ping made with another fleet's key": other_fleet,
    "a ping with one bit changed": one_bit_changed,
    "a datagram of 1300 bytes": lambda context: seal(b"x" * 1284),
    "an authentic datagram that is not CBOR": lambda context: seal(b"\xff\x00garbage"),
    "an authentic datagram that is not a list": lambda context: seal(cbor2.dumps({"a": 1})),
    "an authentic ping with a negative sequence": lambda context: with_field(
        blocked_ping(context, 2, 1), 3, -1
    ),
    "a record whose key is another member's": stolen_key_record,
    "a datagram that it has received before": seen_before,
    "its own datagram": lambda context: blocked_ping(context, 1, 2),
    "a ping meant for another member": lambda context: blocked_ping(context, 2, 3),
}


@when("membership node {number:d} receives {datagram}")
def receive_bad(context: Any, number: int, datagram: str) -> None:
    node, data = node_of(context, number), BAD_DATAGRAMS[datagram](context)
    context.digest_before, context.states_before = node.core.view.digest, node.states()
    context.network.inject(data, node_of(context, 2).address, node)


@then('membership node {number:d} has dropped it as "{code}" and its view is unchanged')
def dropped_unchanged(context: Any, number: int, code: str) -> None:
    core = node_of(context, number).core
    assert core.counters.dropped == {DropCode(code): 1}, core.counters.dropped
    assert core.view.digest == context.digest_before
    assert node_of(context, number).states() == context.states_before


@when(
    "a ping of membership node {number:d} is recorded and sent to a new process"
    " after {seconds:d} seconds"
)
def send_recorded(context: Any, number: int, seconds: int) -> None:
    network, sender = context.network, node_of(context, number)
    previous, network.is_blocked = network.is_blocked, lambda source, target: True
    sender.core.ping_address("10.0.0.99:7100")
    network.flush(sender)
    data = network.sent[-1][2]
    network.is_blocked = previous
    network.run(seconds)
    context.newcomer = network.start_node("newcomer", address="10.0.0.99:7100")
    network.inject(data, sender.address, context.newcomer)


@then('the new process has dropped it as "{code}"')
def newcomer_dropped(context: Any, code: str) -> None:
    dropped = context.newcomer.core.counters.dropped
    assert dropped == {DropCode(code): 1}, dropped


@when("{count:d} garbage datagrams arrive at the log of a node within {seconds:d} seconds")
def flood_log(context: Any, count: int, seconds: int) -> None:
    context.drop_log = DropLog()
    with capture_logs() as context.lines:
        for number in range(count):
            context.drop_log.add(
                DropCode.BAD_MAC, "10.9.9.9:1", "garbage", seconds * number / count
            )


@when("1 garbage datagram arrives {seconds:d} seconds later")
def one_more(context: Any, seconds: int) -> None:
    with capture_logs() as context.lines:
        context.drop_log.add(DropCode.BAD_MAC, "10.9.9.9:1", "garbage", 5.0 + seconds)


@then("{count:d} line is written for them")
def lines_written(context: Any, count: int) -> None:
    assert [line["code"] for line in context.lines] == ["bad-mac"] * count


@then("the next line counts {count:d} datagrams")
def next_line(context: Any, count: int) -> None:
    assert [line["count"] for line in context.lines] == [count], context.lines
