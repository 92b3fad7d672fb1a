"""Steps for requests that are held back: single decisions and simulated fleets."""

import asyncio
import json
import random
import re
from typing import Any

import attrs
from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]

from bench.model._virtual_loop import VirtualLoop
from bench.quarantine import BulletinNetwork, QuarantinePlan, measure_spread, simulate_quarantine
from bench.quarantine._spread import GUILTY, make_runs
from marjoramtide.exchange import LoadReport, Request
from marjoramtide.peers import report_fields, unpack_report
from marjoramtide.policy import (
    CompletedRequests,
    HoldRule,
    Quarantine,
    RunVerdict,
    ServerCrash,
    SuspectReport,
)
from marjoramtide.quarantine import is_quarantine_bulletin, pack_suspect_reports

use_step_matcher("parse")

REQUEST = 7
PAGE = 0x1234_5678_9ABC_DEF0
SIMULATIONS = {
    "a tenth of 60 servers is lost every 5 s": QuarantinePlan(
        servers=60, per_s=1500.0, crash_every_s=5.0, seconds=30.0
    ),
    "half of 12 servers is lost every 8 s": QuarantinePlan(
        servers=12, per_s=200.0, crash_every_s=8.0, crash_share=0.5
    ),
    "all of 12 servers are lost every 12 s": QuarantinePlan(
        servers=12, per_s=200.0, crash_every_s=12.0, crash_share=1.0
    ),
    "half of 12 servers that have 2 pages is lost every 8 s": QuarantinePlan(
        servers=12, per_s=200.0, common_share=1.0, pages=2, crash_every_s=8.0, crash_share=0.5
    ),
    "half of 12 servers, whose requests take 6 s, is lost every 8 s": QuarantinePlan(
        servers=12, per_s=12.0, work_s=6.0, common_share=0.0, crash_every_s=8.0, crash_share=0.5
    ),
    "a guilty request arrives 5 times a second": QuarantinePlan(guilty_per_s=5.0),
    "a guilty request arrives amid losses of a third": QuarantinePlan(
        guilty_per_s=5.0, crash_every_s=7.0, crash_share=0.3
    ),
}


def apply_event(context: Any, event: str) -> None:
    """Apply one event to the quarantine."""
    quarantine, now = context.quarantine, context.now
    numbers = [int(number) for number in re.findall(r"\d+", event)]
    match event.split(" ")[0]:
        case "crash":
            context.now = now = now + (0.03 if "soon" in event else 1.0)
            age_s = float(numbers[1]) if "ago" in event else 0.0
            ran_s = (
                float(event.split()[3]) if " after " in event and "started" not in event else 0.5
            )
            ran_s = 0.01 if "started after" in event else ran_s
            quarantine.merge(SuspectReport(REQUEST, (ServerCrash(numbers[0], age_s, ran_s),)), now)
        case "completed":
            quarantine.clear(REQUEST)
        case "cleared":
            quarantine.merge(SuspectReport(REQUEST, cleared=tuple(numbers)), now)
        case "started":
            assert quarantine.decide(REQUEST, now).verdict is RunVerdict.TRIAL
        case "a" if "trial" in event:
            quarantine.merge(SuspectReport(REQUEST, trial_s=10.0), now)
        case "a":
            quarantine.rule = HoldRule(after=numbers[0])
        case "nothing":
            pass
        case _ if "other crashes" in event:
            for number in range(numbers[0]):
                crash = ServerCrash(1000 + number, ran_s=0.1)
                quarantine.merge(SuspectReport(1000 + number, (crash,)), now)
        case _:
            context.now += numbers[0]


@given("a quarantine that has received {events}")
def given_received(context: Any, events: str) -> None:
    context.quarantine, context.now = Quarantine(), 1000.0
    context.quarantine.server_count = 6
    for event in events.split(", "):
        apply_event(context, event)


@then("the request runs")
def runs(context: Any) -> None:
    decision = context.quarantine.decide(REQUEST, context.now)
    assert decision.verdict is RunVerdict.RUN, decision


@then("the request runs as a trial")
def runs_as_trial(context: Any) -> None:
    decision = context.quarantine.decide(REQUEST, context.now)
    assert decision.verdict is RunVerdict.TRIAL, decision


@then("the request waits {seconds:g} s")
def waits(context: Any, seconds: float) -> None:
    decision = context.quarantine.decide(REQUEST, context.now)
    assert decision.verdict is RunVerdict.HOLD, decision
    assert abs(decision.wait_s - seconds) < 0.001, decision


@when("{count:d} other requests are lost with servers")
def flood(context: Any, count: int) -> None:
    rng = random.Random(1)
    for number in range(count):
        context.now += 0.001
        crash = ServerCrash(1000 + number // 10)
        context.quarantine.merge(SuspectReport(rng.getrandbits(64), (crash,)), context.now)
    context.now = 1002.0


@then("the quarantine keeps at most {count:d} requests")
def keeps(context: Any, count: int) -> None:
    assert len(context.quarantine) <= count, len(context.quarantine)


@given("a server that has completed a page")
def given_completed(context: Any) -> None:
    context.completed = CompletedRequests()
    context.completed.add(PAGE)


@then("the page is excused at the next crash of the server")
def excused(context: Any) -> None:
    assert context.completed.excuse(PAGE, 1)
    assert context.completed.excuse(PAGE, 1)


@then("the page is not excused at the crash after that")
def excused_once(context: Any) -> None:
    assert not context.completed.excuse(PAGE, 2)


@then("a request that it never completed is not excused")
def not_excused(context: Any) -> None:
    assert not context.completed.excuse(PAGE ^ 0xFFFF, 3)


@given("a simulated service where {what}")
def given_simulated(context: Any, what: str) -> None:
    context.plan = SIMULATIONS[what]


@when("it is simulated with the seeds 1, 2, 3 and 4")
def simulated(context: Any) -> None:
    context.tallies = [
        simulate_quarantine(attrs.evolve(context.plan, seed=seed)) for seed in (1, 2, 3, 4)
    ]


def total(context: Any, name: str) -> int:
    return sum(getattr(tally, name) for tally in context.tallies)


@then("at most 1 in {many:d} innocent requests was held back")
def rarely_held(context: Any, many: int) -> None:
    held, asked = total(context, "held"), total(context, "asked")
    assert asked > 1000 and held * many <= asked, (held, asked)


@then("no page was held back")
def no_page_held(context: Any) -> None:
    assert total(context, "common_held") == 0, context.tallies


@then("at least {share:g} of the innocent requests were served")
def served(context: Any, share: float) -> None:
    assert total(context, "served") >= share * total(context, "asked"), context.tallies


@then("a guilty request crashed at most {count:d} servers in each simulation")
def crashed(context: Any, count: int) -> None:
    assert all(0 < tally.guilty_crashes <= count for tally in context.tallies), context.tallies


@given("fleets of {size:d} nodes, where {loss:d} in 100 datagrams are lost")
def given_fleets(context: Any, size: int, loss: int) -> None:
    context.spreads = [measure_spread(size, seed, loss / 100) for seed in range(20)]


@then("in 20 of 20 fleets all nodes hold it back within {seconds:g} s of the second crash")
def all_hold(context: Any, seconds: float) -> None:
    late = [each for each in context.spreads if each.seconds > seconds]
    assert not late, late


@then("a crash costs at most {count:d} datagrams")
def costs(context: Any, count: int) -> None:
    """Each node gets it three times, plus random gossip until a second has passed."""
    assert all(each.datagrams_per_crash <= count for each in context.spreads), context.spreads


def run(context: Any, work: Any) -> Any:
    return context.runner.run(work)


@given("a fleet of {size:d} nodes")
def given_fleet(context: Any, size: int) -> None:
    context.runner = context.cleanup.enter_context(asyncio.Runner(loop_factory=VirtualLoop))

    async def make() -> None:
        context.network = BulletinNetwork(size)
        context.cleanup.callback(context.network.close)

    run(context, make())


async def crash_two(network: BulletinNetwork) -> None:
    for number in (1, 2):
        network.nodes[number].server_crashed(make_runs(network, 5))
        await asyncio.sleep(0.2)


@given("a fleet of {size:d} nodes that hold a request back")
def given_holding(context: Any, size: int) -> None:
    given_fleet(context, size)

    async def hold() -> None:
        await crash_two(context.network)
        assert context.network.count_holding(GUILTY) == size

    run(context, hold())


@given("a fleet of {size:d} nodes, where {loss:d} in 100 datagrams are lost")
def given_lossy_fleet(context: Any, size: int, loss: int) -> None:
    given_fleet(context, size)
    context.network.loss = loss / 100


@given(
    "a fleet of {size:d} nodes that hold a request back, where {loss:d} in 100 datagrams are lost"
)
def given_lossy(context: Any, size: int, loss: int) -> None:
    given_holding(context, size)
    context.network.loss = loss / 100


@given("none of them gossips at random")
def given_no_gossip(context: Any) -> None:
    async def end() -> None:
        for task in context.network.tasks:
            task.cancel()

    run(context, end())


@when("another has restarted, and meets {whom}")
def restarted(context: Any, whom: str) -> None:
    async def start() -> None:
        network = context.network
        network.restart(9)
        network.sent = 0
        for member in network.members if whom == "the others" else []:
            network.nodes[9].member_changed(member)

    run(context, start())


@then("it is informed within {seconds:g} s")
def informed(context: Any, seconds: float) -> None:
    assert not context.network.nodes[9].disseminator.is_synced
    run(context, asyncio.sleep(seconds))
    assert context.network.nodes[9].disseminator.is_synced


@then("within {seconds:g} s only its {count:d} queries and their answers were sent")
def only_queries(context: Any, seconds: float, count: int) -> None:
    run(context, asyncio.sleep(seconds))
    assert context.network.sent == 2 * count, context.network.sent


@given("a fleet of {size:d} nodes, where a server has crashed with a request")
def given_one_crash(context: Any, size: int) -> None:
    given_fleet(context, size)

    async def end() -> None:
        context.network.nodes[1].server_crashed(make_runs(context.network, 5))
        await asyncio.sleep(0.2)

    run(context, end())


@when("another server completes that request, and a third one crashes with it")
def completed_and_crashed(context: Any) -> None:
    async def complete() -> None:
        context.network.nodes[5].completed(GUILTY)
        await asyncio.sleep(0.2)
        context.network.nodes[2].server_crashed(make_runs(context.network, 5))

    run(context, complete())


@when("{count:d} nodes report the crash of a fourth one, half a second apart")
def report_one(context: Any, count: int) -> None:
    async def tell() -> None:
        network = context.network
        for node in network.nodes[:count]:
            node.node_crashed(network.members[count], make_runs(network, 5))
            await asyncio.sleep(0.5)

    run(context, tell())


@given("a fleet of {size:d} nodes, one of which is partitioned while a request crashes two servers")
def given_partitioned(context: Any, size: int) -> None:
    given_fleet(context, size)

    async def cut() -> None:
        context.network.partitioned.add(7)
        await crash_two(context.network)
        await asyncio.sleep(5.0)
        assert context.network.count_holding(GUILTY) == size - 1

    run(context, cut())


@when("that node is reachable again, and another has restarted")
def reachable(context: Any) -> None:
    async def heal() -> None:
        context.network.partitioned.clear()
        context.network.restart(9)

    run(context, heal())


@then("all {size:d} hold the request back within {seconds:g} s")
def all_held(context: Any, size: int, seconds: float) -> None:
    async def wait() -> None:
        await asyncio.sleep(seconds)
        assert context.network.count_holding(GUILTY) == size, context.network.count_holding(GUILTY)

    run(context, wait())


@when("a server completes the request that one node ran as a trial")
def trial_succeeds(context: Any) -> None:
    async def try_it() -> None:
        await asyncio.sleep(61.0)
        node = context.network.nodes[4]
        request = Request("mapdesk", "GET", "/", (), False, True, 0.0)
        node.begin(request, GUILTY)
        await asyncio.sleep(0.1)
        assert context.network.count_holding(GUILTY) == len(context.network.nodes)
        node.completed(GUILTY)

    run(context, try_it())


@when("an operator releases it at one node")
def releases(context: Any) -> None:
    async def release() -> None:
        context.network.nodes[5].release(GUILTY)

    run(context, release())


@then("no node holds it back {seconds:g} s later")
def none_holds(context: Any, seconds: float) -> None:
    async def wait() -> None:
        await asyncio.sleep(seconds)
        assert context.network.count_holding(GUILTY) == 0, context.network.count_holding(GUILTY)

    run(context, wait())


@given("a crash report as a bulletin")
def given_report(context: Any) -> None:
    report = SuspectReport(REQUEST, (ServerCrash(1, 0.5), ServerCrash(2)), (1,), 1.0)
    (context.fields,) = pack_suspect_reports([report])


@then("a node that knows only load reports finds none in it")
def reads_none(context: Any) -> None:
    assert unpack_report(context.fields) is None


@then("a load report is not taken for a crash report")
def not_crash_report(context: Any) -> None:
    assert is_quarantine_bulletin(context.fields)
    assert not is_quarantine_bulletin(report_fields(LoadReport(1, 2)))


@when("one of them is sent the report {report}")
def sent_report(context: Any, report: str) -> None:
    network = context.network
    context.fields = [["quarantine", json.loads(report)]]
    network.nodes[0].handle_bulletin(network.members[1], context.fields)


@then("it counts one malformed report and has no suspects")
def counts_malformed(context: Any) -> None:
    node = context.network.nodes[0]
    assert node.metrics.counts["quarantine.malformed"] == 1, node.metrics.counts
    assert len(node.policy) == 0
