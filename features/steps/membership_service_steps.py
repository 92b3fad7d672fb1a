"""Steps for membership over real sockets, with an in-memory store that can be made to fail."""

import asyncio
import itertools
import os
import random
import socket
from collections.abc import Callable, Coroutine
from typing import Any

from behave import given, then, when

from bench.memory_store import MemoryStore
from marjoramtide.clock import SystemClock
from marjoramtide.errors import ErrorCode, MarjoramtideError
from marjoramtide.membership import (
    DropCode,
    Member,
    MembershipService,
    MemberState,
    make_membership,
)
from marjoramtide.settings import NodeSettings
from marjoramtide.store import StoredObject

SERVICE = "mapdesk"
POLL_S = 0.02


class FaultyStore(MemoryStore):
    """A store that can be made unavailable or lose the response to one write."""

    def __init__(self) -> None:
        super().__init__()
        self.is_down = False
        self.loses_answer = False

    async def list(self, prefix: str, *, timeout: float = 2.0) -> list[StoredObject]:
        self.fail_if_down()
        return await super().list(prefix, timeout=timeout)

    async def create(self, key: str, value: bytes, *, timeout: float = 2.0) -> StoredObject:
        self.fail_if_down()
        written = await super().create(key, value, timeout=timeout)
        if self.loses_answer:
            self.loses_answer = False
            raise MarjoramtideError(ErrorCode.STORE_AMBIGUOUS, "no answer", step="store.create")
        return written

    def fail_if_down(self) -> None:
        if self.is_down:
            raise MarjoramtideError(ErrorCode.STORE_UNAVAILABLE, "down", step="store")


def run(context: Any, work: Coroutine[Any, Any, Any]) -> Any:
    return context.membership_loop.run_until_complete(work)


def settings_of(context: Any) -> NodeSettings:
    pid, number = os.getpid(), next(context.numbers)
    address = f"127.{64 + pid // 250 % 64}.{pid % 250 + 1}.{number + 1}"
    return NodeSettings(
        service=SERVICE,
        region="viti-west",
        data_centre="nadi-hall",
        callers=f"{address}:7100",
        peers=f"{address}:7101",
        gossip=f"{address}:7102",
        operators=f"{address}:7103",
        backend=f"{address}:7104",
        store="http://127.0.0.1:1",
        key="the key of a fleet in tests",
    )


def start_service(context: Any, settings: NodeSettings) -> MembershipService:
    clock, rng = SystemClock(), random.SystemRandom()
    service = make_membership(settings, context.membership_store, clock, rng)
    run(context, service.start())
    service.set_state(MemberState.READY)
    context.cleanup.callback(lambda: run(context, service.stop(leave=False)))
    return service


def wait_for(context: Any, condition: Callable[[], bool], seconds: float) -> None:
    async def poll() -> None:
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(POLL_S)

    run(context, poll())


@given("a store in memory for membership")
def memory_store(context: Any) -> None:
    context.membership_loop = asyncio.new_event_loop()
    context.cleanup.callback(context.membership_loop.close)
    context.membership_store = FaultyStore()
    context.numbers = itertools.count()
    context.services = []


@given("{count:d} membership services that use it")
def start_services(context: Any, count: int) -> None:
    context.services = [start_service(context, settings_of(context)) for _ in range(count)]


@when("another membership service starts")
def start_another(context: Any) -> None:
    context.services.append(start_service(context, settings_of(context)))


@given("the membership store loses the answer to the next write")
def lose_answer(context: Any) -> None:
    context.membership_store.loses_answer = True


@when("the membership store goes down")
def store_down(context: Any) -> None:
    context.membership_store.is_down = True


@when("the membership store comes back")
def store_back(context: Any) -> None:
    context.membership_store.is_down = False


@when("{seconds:d} second of real time passes")
@when("{seconds:d} seconds of real time pass")
def real_time(context: Any, seconds: int) -> None:
    run(context, asyncio.sleep(seconds))


@when("membership service {number:d} starts draining")
def drain_service(context: Any, number: int) -> None:
    run(context, _in_loop(lambda: context.services[number].set_state(MemberState.DRAINING)))


@when("membership service {number:d} pings the address of membership service {other:d}")
def ping_address(context: Any, number: int, other: int) -> None:
    core = context.services[number].core
    core.ping_address(context.services[other].self_member.gossip_address)


@when("membership service {number:d} stops as planned")
def stop_service(context: Any, number: int) -> None:
    run(context, context.services.pop(number).stop())


@when("membership service {number:d} is killed and started again")
def restart_service(context: Any, number: int) -> None:
    old = context.services[number]
    run(context, old.stop(leave=False))
    context.numbers = itertools.count(number)
    context.services[number] = start_service(context, settings_of(context))


@when("{count:d} garbage datagrams reach membership service {number:d}")
def send_garbage(context: Any, count: int, number: int) -> None:
    host, port = context.services[number].self_member.gossip_address.split(":")
    rng = random.Random(count)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for _ in range(count):
            sender.sendto(rng.randbytes(rng.randrange(1400)), (host, int(port)))
            run(context, asyncio.sleep(0))


@given("a listener of membership service {number:d} that always fails")
def failing_listener(context: Any, number: int) -> None:
    def fail(member: Member) -> None:
        raise RuntimeError("failing listener")

    context.heard = []
    context.services[number].on_change(fail)
    context.services[number].on_change(context.heard.append)


@given("within {seconds:d} seconds each membership service offers {count:d} nodes")
@then("within {seconds:d} seconds each membership service offers {count:d} nodes")
@then("within {seconds:d} seconds each membership service offers {count:d} node")
def offers(context: Any, seconds: int, count: int) -> None:
    def reached() -> bool:
        return all(len(service.members_of(SERVICE)) == count for service in context.services)

    wait_for(context, reached, seconds)


@then("within {seconds:d} seconds each membership service knows {count:d} nodes")
def knows(context: Any, seconds: int, count: int) -> None:
    wait_for(
        context,
        lambda: all(len(service.members()) == count for service in context.services),
        seconds,
    )


@then("membership service {number:d} offers {count:d} node")
def one_offers(context: Any, number: int, count: int) -> None:
    found = context.services[number].members_of(SERVICE)
    assert len(found) == count, found


@then("the store holds {count:d} announcements")
def announcements(context: Any, count: int) -> None:
    wait_for(context, lambda: len(context.membership_store.objects) == count, 5)


@then('membership service {number:d} has dropped some datagrams as "{code}"')
def dropped_some(context: Any, number: int, code: str) -> None:
    counters = context.services[number].counters
    wait_for(context, lambda: counters.dropped[DropCode(code)] > 0, 5)


@then("the other listener of membership service {number:d} has heard of it")
def other_heard(context: Any, number: int) -> None:
    states = {(member.node, member.state) for member in context.heard}
    assert (context.services[1].self_member.node, MemberState.DRAINING) in states, states


async def _in_loop(action: Callable[[], None]) -> None:
    action()
