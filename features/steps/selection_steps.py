"""Steps for the selection of a serving node."""

import itertools
from collections import Counter
from typing import Any

from behave import given, then, when

from features.policy_fakes import LOOKUP, START, Ingress, make_member
from marjoramtide.exchange import LoadReport
from marjoramtide.policy import CallProfile
from marjoramtide.policy.placing._spill_over import SpillOver
from marjoramtide.settings import RouteSettings

URGENT = CallProfile(urgent=True, idempotent=True, deadline=START + 1e6)
BOOKING = CallProfile(urgent=False, idempotent=False, deadline=START + 1e6)
TRAFFIC = {"lookups": LOOKUP, "bookings": BOOKING}


@given("a predicting ingress node knows {count:d} serving nodes that answer in 20 ms")
def step_warm_ingress(context: Any, count: int) -> None:
    context.ingress = Ingress([make_member(f"n{number}") for number in range(1, count + 1)])
    context.ingress.warm_up()


@when('{count:d} requests to "{node}" stay unanswered for {ms:d} ms while its node refuses another')
def step_unanswered(context: Any, count: int, node: str, ms: int) -> None:
    ingress = context.ingress
    for _ in range(count):
        ingress.selector.sent(node, ingress.now)
    end = ingress.now + ms / 1000
    others = [member.node for member in ingress.members if member.node != node]
    for other in itertools.cycle(others):
        if ingress.now >= end:
            break
        ingress.answer(other, 5.0)
    ingress.selector.sent(node, ingress.now)
    ingress.selector.rejected(node, None, 0, ingress.now, elapsed_ms=0.0)


@when('"{nodes}" answers {count:d} requests with errors after {ms:d} ms')
@when('"{nodes}" answer {count:d} requests each with errors after {ms:d} ms')
def step_errors(context: Any, nodes: str, count: int, ms: int) -> None:
    for _, node in itertools.product(range(count), nodes.split(",")):
        context.ingress.answer(node, float(ms), ok=False, in_use=0)


@then("{count:d} serving nodes are ejected")
def step_ejected(context: Any, count: int) -> None:
    assert len(context.ingress.ejected()) == count, context.ingress.ejected()


@then('between {low:g}% and {high:g}% of {count:d} next {kind} choices fall on "{node}"')
def step_choices(context: Any, low: float, high: float, count: int, kind: str, node: str) -> None:
    profile = {"routine": LOOKUP, "urgent": URGENT}[kind]
    share = context.ingress.shares(count, profile)[node] * 100
    assert low <= share <= high, share


@when("the clock of the ingress node moves on by {seconds:d} s")
def step_pass(context: Any, seconds: int) -> None:
    context.ingress.now += seconds


@given('{count:d} predicting ingress nodes heard that "n1" is idle and 9 others are nearly full')
def step_heard(context: Any, count: int) -> None:
    members = [make_member(f"n{number}") for number in range(1, 11)]
    context.ingresses = [Ingress(members, seed) for seed in range(count)]
    for ingress in context.ingresses:
        for member in members:
            ingress.receive_answer(member.node, in_use=0 if member.node == "n1" else 9)


@when("each of them chooses once")
def step_each_chooses(context: Any) -> None:
    choices = (ingress.selector.choose(LOOKUP, START) for ingress in context.ingresses)
    context.chosen = Counter(choices)


@when("it sends {count:d} requests before the next report")
def step_sends(context: Any, count: int) -> None:
    selector = context.ingresses[0].selector
    context.chosen = Counter()
    for _ in range(count):
        node = selector.choose(LOOKUP, START)
        selector.sent(node, START)
        context.chosen[node] += 1


@then('"n1" gets between {least:d} and {most:d} of them')
def step_gets(context: Any, least: int, most: int) -> None:
    assert least <= context.chosen["n1"] <= most, context.chosen


@when('"n1" reports 30 queued and then an older report of "n1" arrives that says idle')
def step_late_report(context: Any) -> None:
    context.ingress.receive_answer("n1", in_use=10, queued_routine=30, sequence=900)
    context.ingress.receive_answer("n1", in_use=0, sequence=899)


@when('"n1" reported idle 2 s ago, "n2" idle just now and the others 9 of 10 slots in use')
def step_old_report(context: Any) -> None:
    context.ingress.receive_answer("n1", in_use=0)
    context.ingress.now += 2
    for _, member in itertools.product(range(2), context.ingress.members[1:]):
        context.ingress.receive_answer(member.node, in_use=0 if member.node == "n2" else 9)


@when('"new" joins and reports an uptime of {uptime:g} s')
def step_joins(context: Any, uptime: float) -> None:
    ingress = context.ingress
    ingress.members.append(make_member("new"))
    ingress.selector.update_members(ingress.members, ingress.now)
    ingress.receive_answer("new", in_use=0, uptime_s=uptime)


@then('{seconds:d} s of {kind} send {count:d} requests to "{node}"')
def step_traffic(context: Any, seconds: int, kind: str, count: int, node: str) -> None:
    assert context.ingress.traffic(seconds, TRAFFIC[kind])[node] == count


@then('within {seconds:d} s of {kind} "{node}" gets its share again')
def step_share_again(context: Any, seconds: int, kind: str, node: str) -> None:
    context.ingress.traffic(seconds, TRAFFIC[kind])
    assert context.ingress.ejected() == []
    assert context.ingress.traffic(5, TRAFFIC[kind])[node] > 25


@when('{count:d} requests to "{node}" are given up after {ms:d} ms')
def step_hung(context: Any, count: int, node: str, ms: int) -> None:
    ingress = context.ingress
    for _ in range(count):
        ingress.selector.sent(node, ingress.now)
    ingress.now += ms / 1000
    for _ in range(count):
        ingress.selector.cancelled(node, ingress.now, elapsed_ms=float(ms))
    for member in ingress.members[1:]:
        ingress.receive_answer(member.node)
    ingress.now += 0.002


@when("95 requests are answered after 20 ms, 4 after 60 ms and 1 after 900 ms, twice")
def step_latencies(context: Any) -> None:
    for ms in ([20.0] * 95 + [60.0] * 4 + [900.0]) * 2:
        context.ingress.receive_answer("n1", ms)


@then("a hedge with a budget of {share:g} is delayed by at least {ms:d} ms")
def step_hedge(context: Any, share: float, ms: int) -> None:
    assert RouteSettings().hedge_budget == share
    delay_ms = context.ingress.selector.hedge_delay_ms("n1", context.ingress.now)
    assert ms <= delay_ms < 900, delay_ms


@when("the nodes report 7 slots in use and service times of 15, 18, 20, 22, 25 and 28 ms")
def step_uneven_times(context: Any) -> None:
    times = (15.0, 18.0, 20.0, 22.0, 25.0, 28.0)
    for _, (position, ms) in itertools.product(range(3), enumerate(times)):
        member = context.ingress.members[position]
        context.ingress.receive_answer(member.node, in_use=7, service_time_ms=ms)


@then("each gets between {low:g}% and {high:g}% of {count:d} next choices")
def step_even(context: Any, low: float, high: float, count: int) -> None:
    shares = context.ingress.shares(count)
    bounds = (low / 100, high / 100)
    assert all(bounds[0] <= shares[m.node] <= bounds[1] for m in context.ingress.members), shares


@when('"n1" answers 10 requests after {latency_ms:d} ms and reports {reported_ms:d} ms')
def step_answers(context: Any, latency_ms: int, reported_ms: int) -> None:
    for _ in range(10):
        context.ingress.answer(
            "n1", float(latency_ms), in_use=0, service_time_ms=float(reported_ms)
        )
    for member in context.ingress.members[1:]:
        context.ingress.receive_answer(member.node)


@when('"n1" refuses because it drains and "n2" refuses for 300 ms because it is full')
def step_refuse(context: Any) -> None:
    ingress = context.ingress
    draining = LoadReport(in_use=1, limit=10, accepts=False, sequence=900)
    ingress.selector.rejected("n1", draining, 1000, ingress.now)
    ingress.selector.rejected("n2", None, 300, ingress.now)


@when('all but "{node}" refuse routine requests for {ms:d} ms with room for urgent ones')
def step_refuse_routine(context: Any, node: str, ms: int) -> None:
    ingress = context.ingress
    ingress.receive_answer(node, in_use=9)
    for member in ingress.members:
        if member.node != node:
            full = LoadReport(9, 10, service_time_ms=20.0, sequence=next(ingress.sequence))
            ingress.selector.rejected(member.node, full, ms, ingress.now)


@given("a predicting ingress node in a data centre with 3 of 9 serving nodes")
def step_data_centres(context: Any) -> None:
    names = itertools.cycle(("nadi-hall", "lautoka-hall", "sigatoka-hall"))
    members = [make_member(f"n{number}", next(names)) for number in range(9)]
    context.ingress = Ingress(members)
    context.ingress.warm_up()


@then("between {low:g}% and {high:g}% of {count:d} next choices stay in its data centre")
def step_stay(context: Any, low: float, high: float, count: int) -> None:
    ingress = context.ingress
    own = {member.node for member in ingress.members if member.data_centre == "nadi-hall"}
    stayed = 0
    for _ in range(count):
        ingress.now += 0.00001
        stayed += ingress.selector.choose(LOOKUP, ingress.now) in own
    assert low <= stayed / count * 100 <= high, stayed


@when("the nodes of its data centre report 30 queued")
def step_local_queued(context: Any) -> None:
    for member in context.ingress.members:
        queued = 30 if member.data_centre == "nadi-hall" else 0
        context.ingress.receive_answer(
            member.node, in_use=10 if queued else 2, queued_routine=queued
        )


@given("two data centres whose latency follows their share of the load 200 ms late")
def step_two_data_centres(context: Any) -> None:
    context.near_ms = lambda share: 20 + 40 * max(0.0, share - 0.7)
    context.far_ms = lambda share: 23 + 40 * max(0.0, share - 0.5)


@when("load that needs a little of the second one is spread for {seconds:d} s")
def step_spread(context: Any, seconds: int) -> None:
    spill = SpillOver()
    seen = [0.0] * 20
    for tick in range(seconds * 100):
        late = seen[-20]
        near, far = context.near_ms(1 - late), context.far_ms(late)
        seen.append(spill.update(near, far, 10.0, START + tick / 100))
    context.seen = seen


@then("the share of requests that leave varies by less than {most:g} in the last 10 s")
def step_steady(context: Any, most: float) -> None:
    last = context.seen[-1000:]
    assert max(last) - min(last) < most, (min(last), max(last))


@then("the share of requests that leave is between {low:g} and {high:g}")
def step_leaves(context: Any, low: float, high: float) -> None:
    assert low <= context.seen[-1] <= high, context.seen[-1]
