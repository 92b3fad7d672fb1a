"""Steps with crowds of clients outside the limits, against real nodes."""

import asyncio
import tempfile
from pathlib import Path
from typing import Any

from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]

from features.client_fleet import (
    DESCRIPTORS,
    MB,
    MEMORY_BYTES,
    SERVICES,
    ClientNode,
    make_client_fleet,
)
from standins.crowd import Crowd, make_attack

use_step_matcher("parse")

SEND_S = 4.0
HOLD_S = 1.0
BEFORE_STOP_S = 1.0


def run(context: Any, work: Any) -> Any:
    """Run a coroutine on the scenario's event loop."""
    return context.runner.run(work)


@given("nodes of the {protocol} protocol at a tenth of a machine's limits")
def given_client_fleet(context: Any, protocol: str) -> None:
    folder = context.cleanup.enter_context(tempfile.TemporaryDirectory())
    context.runner = context.cleanup.enter_context(asyncio.Runner())
    context.fleet = make_client_fleet(protocol, Path(folder))
    context.crowds = []
    context.cleanup.callback(lambda: run(context, context.fleet.stop()))
    run(context, context.fleet.start())


def make_crowd(context: Any, address: str, name: str, service: str, clients: int) -> Crowd:
    attack = make_attack(name, context.fleet.target(service))
    crowd = Crowd(address, attack, clients)
    context.crowds.append(crowd)
    context.cleanup.callback(crowd.close)
    return crowd


@when("{clients:d} clients send {name} to the {port} port, for {service}")
def when_crowd_sends(context: Any, clients: int, name: str, port: str, service: str) -> None:
    address = context.fleet.nodes[0].addresses[port]
    context.attack = (address, name, service, clients)

    async def work() -> None:
        await make_crowd(context, *context.attack).send(SEND_S)
        await asyncio.sleep(HOLD_S)

    run(context, work())


@then("every node lives within the limits")
def then_within_limits(context: Any) -> None:
    for node in context.fleet.nodes:
        check_limits(node)


def check_limits(node: ClientNode) -> None:
    assert node.process.running, f"{node.name} has ended:\n{node.process.text()[-2000:]}"
    taken = node.summary()
    print(taken)
    assert node.peak_bytes <= MEMORY_BYTES, f"{taken}; allowed: {MEMORY_BYTES / MB:.1f} MB"
    assert node.peak_descriptors <= DESCRIPTORS, f"{taken}; allowed: {DESCRIPTORS}"


@then("an ordinary request of each service is answered through each node")
def then_ordinary_answered(context: Any) -> None:
    for node in context.fleet.nodes:
        for service in SERVICES:
            run(context, context.fleet.wait_answered(node, service))


@then("each node, told to stop beside such a crowd, ends within its grace")
def then_ends(context: Any) -> None:
    async def work() -> None:
        sending = asyncio.create_task(make_crowd(context, *context.attack).send(SEND_S))
        await asyncio.sleep(BEFORE_STOP_S)
        statuses = [await context.fleet.end(node) for node in context.fleet.nodes]
        await sending
        assert statuses == [0, 0], statuses

    run(context, work())
