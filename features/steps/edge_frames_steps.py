"""Steps that send malformed frames and datagrams to real nodes."""

import asyncio
import os
import socket
from typing import Any

from behave import then, use_step_matcher, when  # type: ignore[attr-defined]

from features.edge.peer_attacks import ATTACKS, unknown_ids
from features.edge.watching import (
    LOG_LINE_INTERVAL_S,
    during_traffic,
    find_node,
    log_lines,
    wait_for_log_lines,
)

use_step_matcher("parse")

ATTACK_TIMEOUT_S = 6.0


async def attack_all(node: Any, rows: list[Any]) -> list[str]:
    """Run each attack and return the ones whose log line differs from their row."""
    wrong = []
    for row in rows:
        seen = len(log_lines(node, "peers.refused", "peers.bad_frame", "peers.failed"))
        try:
            async with asyncio.timeout(ATTACK_TIMEOUT_S):
                await ATTACKS[row["attack"]](node.peers)
        except TimeoutError as error:
            wrong.append(f"{row['attack']}: {error}")
        told = await wait_for_log_lines(
            node, seen, ("peers.refused", "peers.bad_frame", "peers.failed")
        )
        found = [(line["event"], line["code"], bool(line.get("step"))) for line in told]
        if found != [(row["event"], row["code"], True)]:
            wrong.append(f"{row['attack']}: {found}")
        await asyncio.sleep(LOG_LINE_INTERVAL_S)
    return wrong


@when("the peer port of {name} is attacked amid the traffic")
def attack_peer_port(context: Any, name: str) -> None:
    work = attack_all(find_node(context, name), list(context.table))
    wrong = context.runner.run(during_traffic(context, name, work))
    assert not wrong, "\n".join([*wrong, context.mesh.output()])


@then("stray frames to {name} do not affect the next request on their connection")
def stray_frames(context: Any, name: str) -> None:
    frame = context.runner.run(unknown_ids(find_node(context, name).peers))
    assert frame[:3] == [3, 2, 200], frame[:3]


@when("{count:d} foreign datagrams reach the gossip port of {name}")
def foreign_datagrams(context: Any, count: int, name: str) -> None:
    host, _, port = find_node(context, name).gossip.rpartition(":")
    with socket.socket(type=socket.SOCK_DGRAM) as out:
        for number in range(count):
            out.sendto(os.urandom(1 + number * 37 % 1400), (host, int(port)))
    context.runner.run(asyncio.sleep(1.5))


@then("{name} has written at most {count:d} lines of datagram-dropped, each with a code")
def dropped_lines(context: Any, name: str, count: int) -> None:
    found = log_lines(find_node(context, name), "datagram-dropped")
    assert 1 <= len(found) <= count and all(line["code"] for line in found), found
