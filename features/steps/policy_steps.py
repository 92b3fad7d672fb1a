"""Steps on pure decisions: time is a number that the steps move, randomness has a fixed seed."""

import itertools
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

from behave import given, then, when

from marjoramtide.exchange import LoadReport
from marjoramtide.membership import Member, MemberState
from marjoramtide.policy import (
    Admission,
    CallProfile,
    ComeBackHint,
    Decision,
    MeasuringBudget,
    RetryBudget,
    Selector,
    Verdict,
    make_admission,
    make_selector,
)
from marjoramtide.policy.placing._spill_over import SpillOver
from marjoramtide.settings import RouteSettings

START = 1000.0
LOOKUP = CallProfile(urgent=False, idempotent=True, deadline=START + 1e6)
URGENT = CallProfile(urgent=True, idempotent=True, deadline=START + 1e6)
BOOKING = CallProfile(urgent=False, idempotent=False, deadline=START + 1e6)
TRAFFIC = {"lookups": LOOKUP, "bookings": BOOKING}


def make_member(node: str, data_centre: str = "nadi-hall") -> Member:
    address = "127.0.0.1:1"
    return Member(
        node, "mapdesk", "viti-west", data_centre, address, address, address, MemberState.READY
    )


def new_selector(members: list[Member], seed: int = 1, **settings: Any) -> Selector:
    own = make_member("ingress")
    selector = make_selector(RouteSettings(**settings), own, random.Random(seed))
    selector.update_members(members, START)
    return selector


class Ingress:
    """One selector with its clock, and answers that say what a scenario needs."""

    def __init__(self, members: list[Member], seed: int = 1) -> None:
        self.members = members
        self.selector = new_selector(members, seed)
        self.now = START
        self.sequence = itertools.count(1)

    def answer(self, node: str, elapsed_ms: float = 20.0, ok: bool = True, **load: Any) -> None:
        """Send a request to ``node`` and let it be answered ``elapsed_ms`` later."""
        self.selector.sent(node, self.now)
        self.now += elapsed_ms / 1000
        self.hear(node, elapsed_ms, ok, **load)

    def hear(self, node: str, elapsed_ms: float = 20.0, ok: bool = True, **load: Any) -> None:
        values = {"in_use": 2, "limit": 10, "service_time_ms": 20.0} | load
        values.setdefault("sequence", next(self.sequence))
        self.selector.answered(node, LoadReport(**values), elapsed_ms, ok, self.now)

    def warm_up(self) -> None:
        for _, member in itertools.product(range(5), self.members):
            self.answer(member.node)

    def shares(self, count: int, profile: CallProfile = LOOKUP) -> Counter[str | None]:
        chosen = Counter(self.selector.choose(profile, self.now) for _ in range(count))
        return Counter({node: times / count for node, times in chosen.items()})

    def traffic(self, seconds: float, profile: CallProfile = LOOKUP) -> Counter[str | None]:
        """Send 100 requests a second, each answered well after 20 ms; return where they went."""
        seen: Counter[str | None] = Counter()
        for _ in range(int(seconds * 100)):
            node = self.selector.choose(profile, self.now)
            seen[node] += 1
            if node is not None:
                self.answer(node, 20.0)
            self.now -= 0.010
        return seen

    def ejected(self) -> list[object]:
        return [row["node"] for row in self.selector.explain(self.now) if row["ejected"]]


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
            ingress.hear(member.node, in_use=0 if member.node == "n1" else 9)


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
    context.ingress.hear("n1", in_use=10, queued_routine=30, sequence=900)
    context.ingress.hear("n1", in_use=0, sequence=899)


@when('"n1" reported idle 2 s ago, "n2" idle just now and the others 9 of 10 slots in use')
def step_old_report(context: Any) -> None:
    context.ingress.hear("n1", in_use=0)
    context.ingress.now += 2
    for _, member in itertools.product(range(2), context.ingress.members[1:]):
        context.ingress.hear(member.node, in_use=0 if member.node == "n2" else 9)


@when('"new" joins and reports an uptime of {uptime:g} s')
def step_joins(context: Any, uptime: float) -> None:
    ingress = context.ingress
    ingress.members.append(make_member("new"))
    ingress.selector.update_members(ingress.members, ingress.now)
    ingress.hear("new", in_use=0, uptime_s=uptime)


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
        ingress.hear(member.node)
    ingress.now += 0.002


@when("95 requests are answered after 20 ms, 4 after 60 ms and 1 after 900 ms, twice")
def step_latencies(context: Any) -> None:
    for ms in ([20.0] * 95 + [60.0] * 4 + [900.0]) * 2:
        context.ingress.hear("n1", ms)


@then("a second try with a budget of {share:g} waits for {ms:d} ms at least")
def step_hedge(context: Any, share: float, ms: int) -> None:
    assert RouteSettings().hedge_budget == share
    delay_ms = context.ingress.selector.hedge_delay_ms("n1", context.ingress.now)
    assert ms <= delay_ms < 900, delay_ms


@when("the nodes report 7 slots in use and service times of 15, 18, 20, 22, 25 and 28 ms")
def step_uneven_times(context: Any) -> None:
    times = (15.0, 18.0, 20.0, 22.0, 25.0, 28.0)
    for _, (position, ms) in itertools.product(range(3), enumerate(times)):
        member = context.ingress.members[position]
        context.ingress.hear(member.node, in_use=7, service_time_ms=ms)


@then("each gets between {low:g}% and {high:g}% of {count:d} next choices")
def step_even(context: Any, low: float, high: float, count: int) -> None:
    shares = context.ingress.shares(count)
    bounds = (low / 100, high / 100)
    assert all(bounds[0] <= shares[m.node] <= bounds[1] for m in context.ingress.members), shares


@when('"n1" answers 10 requests after {took:d} ms and reports {told:d} ms')
def step_answers(context: Any, took: int, told: int) -> None:
    for _ in range(10):
        context.ingress.answer("n1", float(took), in_use=0, service_time_ms=float(told))
    for member in context.ingress.members[1:]:
        context.ingress.hear(member.node)


@when('"n1" refuses because it drains and "n2" refuses for 300 ms because it is full')
def step_refuse(context: Any) -> None:
    ingress = context.ingress
    draining = LoadReport(in_use=1, limit=10, accepts=False, sequence=900)
    ingress.selector.rejected("n1", draining, 1000, ingress.now)
    ingress.selector.rejected("n2", None, 300, ingress.now)


@when('all but "{node}" refuse routine requests for {ms:d} ms with room for urgent ones')
def step_refuse_routine(context: Any, node: str, ms: int) -> None:
    ingress = context.ingress
    ingress.hear(node, in_use=9)
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
        context.ingress.hear(member.node, in_use=10 if queued else 2, queued_routine=queued)


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
        seen.append(spill.push(near, far, 10.0, START + tick / 100))
    context.seen = seen


@then("the share that leaves moves by less than {most:g} in the last 10 s")
def step_steady(context: Any, most: float) -> None:
    last = context.seen[-1000:]
    assert max(last) - min(last) < most, (min(last), max(last))


@then("what leaves is between {low:g} and {high:g}")
def step_leaves(context: Any, low: float, high: float) -> None:
    assert low <= context.seen[-1] <= high, context.seen[-1]


class Serving:
    """One admission with its clock, and what was offered to it."""

    def __init__(self, admission: Admission) -> None:
        self.admission = admission
        self.now = START
        self.tickets = itertools.count(1)
        self.offered: dict[int, tuple[str, int]] = {}
        self.running: list[int] = []
        self.queued: set[int] = set()
        self.took = 0.0

    def offer(self, kind: str, due_ms: int) -> Decision:
        ticket = next(self.tickets)
        self.offered[ticket] = (kind, due_ms)
        attempt = 2 if kind == "second-attempt" else 1
        due = self.now + due_ms / 1000
        profile = CallProfile(
            kind == "urgent",
            True,
            due,
            attempt,
            rank=0 if kind == "first-rank" else 1,
            is_call=kind == "call",
        )
        decision = self.admission.offer(ticket, profile, self.now)
        if decision.verdict is Verdict.START:
            self.running.append(ticket)
        elif decision.verdict is Verdict.QUEUE:
            self.queued.add(ticket)
        return decision

    def finish_oldest(self, took_ms: float, succeeded: bool = True) -> list[int]:
        ticket = self.running.pop(0)
        started = self.admission.finished(ticket, self.now, took_ms, succeeded)
        self.running += started
        self.queued -= set(started)
        return started

    def run_one(self, kind: str, took_ms: float, succeeded: bool = True) -> None:
        self.offer(kind, 100_000)
        self.now += took_ms / 1000
        self.finish_oldest(took_ms, succeeded)

    def saturate(self, took_ms: Callable[[int], float], count: int) -> None:
        """Keep the server full for ``count`` completions."""
        for _ in range(count):
            while self.offer("second-attempt", 100_000).verdict is Verdict.START:
                pass
            self.took = took_ms(len(self.running))
            self.now += self.took / len(self.running) / 1000
            self.finish_oldest(self.took)

    def report(self) -> LoadReport:
        return self.admission.report(self.now)


@given("an admission with {slots:d} slots, {urgent:d} of them urgent, and executions of {ms:d} ms")
def step_admission(context: Any, slots: int, urgent: int, ms: int) -> None:
    settings = RouteSettings(slots=slots, urgent_slots=urgent, queue_limit=40, min_limit=1)
    context.serving = Serving(make_admission(settings, START))
    for _ in range(50):
        context.serving.run_one("routine", float(ms))


@when("{count:d} {kind} requests due in {ms:d} ms arrive")
def step_arrive(context: Any, count: int, kind: str, ms: int) -> None:
    for _ in range(count):
        context.serving.offer(kind, ms)


@when("the clock of the admission moves on by {ms:d} ms")
def step_ms_pass(context: Any, ms: int) -> None:
    context.serving.now += ms / 1000


@when("the server drains")
def step_drains(context: Any) -> None:
    context.serving.admission.set_accepting(False)


@then("a {kind} request due in {ms:d} ms is {verdict}")
@then("an {kind} request due in {ms:d} ms is {verdict}")
def step_verdict(context: Any, kind: str, ms: int, verdict: str) -> None:
    decision = context.serving.offer(kind, ms)
    taken = {"started": Verdict.START, "queued": Verdict.QUEUE}
    assert decision.verdict is taken.get(verdict, Verdict.REJECT), decision
    if verdict not in taken:
        assert decision.reason == verdict, decision
        assert decision.retry_after_ms >= 1, decision


@then("{run:d} run and {wait:d} wait")
def step_run_and_wait(context: Any, run: int, wait: int) -> None:
    report = context.serving.report()
    assert (report.in_use, report.queued_routine) == (run, wait), report


@then("those due in {due} ms start next")
def step_start_next(context: Any, due: str) -> None:
    serving = context.serving
    expected = [int(ms) for ms in due.split(", ")]
    started = [ticket for _ in expected for ticket in serving.finish_oldest(20.0)]
    assert [serving.offered[ticket][1] for ticket in started] == expected, started


@then("the {kind} requests due in {ms:d} ms are dropped and no others")
def step_dropped(context: Any, kind: str, ms: int) -> None:
    serving = context.serving
    expected = [ticket for ticket in serving.queued if serving.offered[ticket] == (kind, ms)]
    assert expected
    assert serving.admission.next_expiry() <= serving.now
    assert sorted(serving.admission.expire(serving.now)) == sorted(expected)
    assert serving.admission.next_expiry() > serving.now


@when("urgent requests take 19 of 20 starts for {count:d} starts")
def step_surge(context: Any, count: int) -> None:
    for number in range(count):
        context.serving.run_one("urgent" if number % 20 else "routine", 20.0)


@when("{count:d} executions take {ms:d} ms however many run")
def step_alike(context: Any, count: int, ms: int) -> None:
    context.serving.saturate(lambda running: float(ms), count)


@when("{count:d} executions take {ms:d} ms for each that runs beside them")
def step_shared(context: Any, count: int, ms: int) -> None:
    context.serving.saturate(lambda running: float(ms * running), count)


@then("the limit is between {low:d} and {high:d} and the last execution took less than {ms:d} ms")
def step_limit(context: Any, low: int, high: int, ms: int) -> None:
    assert low <= context.serving.report().limit <= high, context.serving.report()
    assert context.serving.took < ms, context.serving.took


@when("{count:d} requests are given up after {ms:d} ms each")
def step_given_up(context: Any, count: int, ms: int) -> None:
    serving = context.serving
    for _ in range(count):
        serving.offer("routine", 1000)
        serving.now += ms / 1000
        serving.admission.withdraw(serving.running.pop(), serving.now)


@when("{count:d} requests fail after {ms:d} ms each")
def step_fail(context: Any, count: int, ms: int) -> None:
    for _ in range(count):
        context.serving.run_one("routine", float(ms), succeeded=False)


@then("the reported service time is at least {ms:d} ms and the success rate below {share:g}")
def step_reported(context: Any, ms: int, share: float) -> None:
    report = context.serving.report()
    assert report.service_time_ms >= ms, report
    assert report.success_rate < share, report


@given("a retry budget with a share of {share:g} after an hour of 100 requests a second")
def step_retry_budget(context: Any, share: float) -> None:
    context.budget = RetryBudget(share)
    for tick in range(360_000):
        context.budget.deposit(START + tick / 100)
    context.now = START + 3600


@when("each of 100 requests a second wants 2 retries for {seconds:d} s")
def step_storm(context: Any, seconds: int) -> None:
    context.requests = seconds * 100
    context.granted = 0
    for _ in range(context.requests):
        context.now += 0.01
        context.budget.deposit(context.now)
        context.granted += sum(context.budget.withdraw(context.now) for _ in range(2))


@then("at most {percent:g}% as many retries as requests are granted")
def step_granted(context: Any, percent: float) -> None:
    assert 0 < context.granted <= context.requests * percent / 100, context.granted


@then("the first request of a node may be retried, and the next after a minute")
def step_quiet_service(context: Any) -> None:
    budget = RetryBudget(0.1)
    budget.deposit(START)
    assert budget.withdraw(START)
    while budget.withdraw(START):
        pass
    budget.deposit(START + 60)
    assert budget.withdraw(START + 60)


@given("{count:d} callers are refused at the same moment by a service of {rate:d} answers a second")
def step_callers(context: Any, count: int, rate: int) -> None:
    hint = ComeBackHint(random.Random(1))
    context.returns = [hint.next_ms(20.0, float(rate), START) for _ in range(count)]


@then("no tenth of a second sees more than {most:d} of them return")
def step_spread_returns(context: Any, most: int) -> None:
    busiest = max(Counter(delay // 100 for delay in context.returns).values())
    assert busiest <= most, busiest


@given("{count:d} callers are refused by a node that knows no server and has seen no answer")
def step_lonely_callers(context: Any, count: int) -> None:
    own = Member("own", "t", "r", "a", "p", "g", "o", MemberState.STARTING)
    selector = make_selector(RouteSettings(service="s"), own, random.Random(1))
    context.returns = [selector.retry_after_ms(START + number / 100) for number in range(count)]


@then("all of them are told to return within {seconds:g} s")
def step_return_in_time(context: Any, seconds: float) -> None:
    assert max(context.returns) <= seconds * 1000, max(context.returns)


@given("a measuring budget of 1 read a second and {share:g} of {slots:d} slots")
def step_measuring(context: Any, share: float, slots: int) -> None:
    context.measuring = lambda: MeasuringBudget(per_s=1.0, share=share, slots=slots)


@then(
    "with {traffic} and reads of {ms:d} ms it reads between {low:d} and {high:d} times "
    "in {seconds:d} s"
)
def step_reads(context: Any, traffic: str, ms: int, low: int, high: int, seconds: int) -> None:
    results, took_ms = {
        "failures": ([False, True], None),
        "traffic": ([True], None),
        "executions of 200 ms": ([True], 200.0),
        "silence": ([], None),
    }[traffic]
    budget = context.measuring()
    reads = 0
    for now in (START + tick / 10 for tick in range(seconds * 10)):
        for succeeded in results:
            budget.traffic(now, succeeded, took_ms)
        if budget.next_read_at(now) <= now:
            budget.read(now, float(ms))
            reads += 1
    assert low <= reads <= high, reads


@given("looks of {took:d} ms at a server of {slots:d} slots whose executions take {ms:d} ms")
def step_looks(context: Any, took: int, slots: int, ms: int) -> None:
    def interval_ms(share: float) -> float:
        budget = MeasuringBudget(per_s=40.0, share=share, slots=slots)
        budget.traffic(START, succeeded=True, took_ms=float(ms))
        budget.read(START, float(took))
        return budget.min_interval_s * 1000

    context.interval_ms = interval_ms


@then(
    "with a share of {low:g} there is one every {rare:g} ms, "
    "and with {high:g} one every {often:g} ms"
)
def step_interval(context: Any, low: float, rare: float, high: float, often: float) -> None:
    found = (context.interval_ms(low), context.interval_ms(high))
    assert (round(found[0]), round(found[1])) == (rare, often), found


@then("a failed request brings the next read forward to {seconds:g} s after the last")
def step_read_forward(context: Any, seconds: float) -> None:
    budget = context.measuring()
    budget.read(START)
    budget.traffic(START + 0.1, succeeded=True)
    assert budget.next_read_at(START + 0.1) > START + seconds
    budget.traffic(START + 0.2, succeeded=False)
    assert budget.next_read_at(START + 0.2) == START + seconds
