"""Steps on pure decisions: time is a number that the steps move, randomness has a fixed seed."""

import itertools
import random
from collections import Counter
from typing import Any

from behave import given, then, when

from marjoramtide.membership import Member, MemberState
from marjoramtide.policy import (
    Admission,
    CallProfile,
    ComeBackHint,
    LoadReport,
    MeasuringBudget,
    RetryBudget,
    Selector,
    Verdict,
    make_admission,
    make_selector,
)
from marjoramtide.settings import RouteSettings

START = 1000.0
LOOKUP = CallProfile(urgent=False, idempotent=True, deadline=START + 1e6)
URGENT = CallProfile(urgent=True, idempotent=True, deadline=START + 1e6)
BOOKING = CallProfile(urgent=False, idempotent=False, deadline=START + 1e6)


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


@when('{count:d} requests to "{node}" stay unanswered for {ms:d} ms while the others go on')
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


@when('"{nodes}" answers {count:d} requests with errors after {ms:d} ms')
@when('"{nodes}" answer {count:d} requests each with errors after {ms:d} ms')
def step_errors(context: Any, nodes: str, count: int, ms: int) -> None:
    for _, node in itertools.product(range(count), nodes.split(",")):
        context.ingress.answer(node, float(ms), ok=False, in_use=0)


@then("no serving node is ejected")
def step_none_ejected(context: Any) -> None:
    assert context.ingress.ejected() == [], context.ingress.ejected()


@then("{count:d} serving nodes are ejected")
def step_ejected(context: Any, count: int) -> None:
    assert len(context.ingress.ejected()) == count, context.ingress.ejected()


@then('less than {percent:g}% of {count:d} next choices fall on "{node}"')
def step_few_choices(context: Any, percent: float, count: int, node: str) -> None:
    share = context.ingress.shares(count)[node] * 100
    assert share < percent, share


@then('between {low:g}% and {high:g}% of {count:d} next choices fall on "{node}"')
@when('between {low:g}% and {high:g}% of {count:d} next choices fall on "{node}"')
def step_some_choices(context: Any, low: float, high: float, count: int, node: str) -> None:
    share = context.ingress.shares(count)[node] * 100
    assert low <= share <= high, share


@then(
    "after {seconds:g} s more between {low:g}% and {high:g}% of {count:d} next choices "
    'fall on "{node}"'
)
def step_later_choices(
    context: Any, seconds: float, low: float, high: float, count: int, node: str
) -> None:
    context.ingress.now += seconds
    step_some_choices(context, low, high, count, node)


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


@then('"n1" is chosen by some of them but at most by {most:d}')
def step_not_all(context: Any, most: int) -> None:
    assert 1 <= context.chosen["n1"] <= most, context.chosen


@when("it sends {count:d} requests before the next report")
def step_sends(context: Any, count: int) -> None:
    selector = context.ingresses[0].selector
    context.chosen = Counter()
    for _ in range(count):
        node = selector.choose(LOOKUP, START)
        selector.sent(node, START)
        context.chosen[node] += 1


@then('"n1" gets at most {most:d} of them')
def step_at_most(context: Any, most: int) -> None:
    assert context.chosen["n1"] <= most, context.chosen


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


@then('no non-idempotent request of the next {seconds:g} s is sent to "{node}"')
def step_no_booking(context: Any, seconds: float, node: str) -> None:
    assert context.ingress.traffic(seconds, BOOKING)[node] == 0


@then('idempotent requests of the next {seconds:g} s bring "{node}" back')
def step_back(context: Any, seconds: float, node: str) -> None:
    context.ingress.traffic(seconds)
    assert context.ingress.ejected() == []
    assert context.ingress.traffic(5)[node] > 25


@when('"n1" answers 10 requests after 400 ms and is then quick again')
def step_slow_then_quick(context: Any) -> None:
    for _ in range(10):
        context.ingress.answer("n1", 400.0, service_time_ms=400.0)
    for member in context.ingress.members[1:]:
        context.ingress.hear(member.node)


@then('within {seconds:g} s of non-idempotent traffic "{node}" gets its share again')
def step_share_again(context: Any, seconds: float, node: str) -> None:
    context.ingress.traffic(seconds, BOOKING)
    assert context.ingress.traffic(5, BOOKING)[node] > 25


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


@when('"n1" answers 10 requests after 200 ms and reports 5 ms')
def step_misleading(context: Any) -> None:
    for _ in range(10):
        context.ingress.answer("n1", 200.0, in_use=0, service_time_ms=5.0)
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


@then('between {low:g}% and {high:g}% of {count:d} next urgent choices fall on "{node}"')
def step_urgent_choices(context: Any, low: float, high: float, count: int, node: str) -> None:
    share = context.ingress.shares(count, URGENT)[node] * 100
    assert low <= share <= high, share


@then('no choice of the next {count:d} falls on "{node}"')
def step_no_choice(context: Any, count: int, node: str) -> None:
    assert context.ingress.shares(count)[node] == 0


@given("a predicting ingress node in a data centre with 3 of 9 serving nodes")
def step_data_centres(context: Any) -> None:
    names = itertools.cycle(("nadi-hall", "lautoka-hall", "sigatoka-hall"))
    members = [make_member(f"n{number}", next(names)) for number in range(9)]
    context.ingress = Ingress(members)
    context.ingress.warm_up()


def share_in_own(ingress: Ingress, count: int) -> float:
    own = {member.node for member in ingress.members if member.data_centre == "nadi-hall"}
    shares = Counter[str | None]()
    for _ in range(count):
        ingress.now += 0.01
        shares[ingress.selector.choose(LOOKUP, ingress.now)] += 1
    return sum(times for node, times in shares.items() if node in own) / count


@then("at least {percent:g}% of {count:d} next choices stay in its data centre")
def step_stay(context: Any, percent: float, count: int) -> None:
    share = share_in_own(context.ingress, count) * 100
    assert share >= percent, share


@when("the nodes of its data centre report 30 queued")
def step_local_queued(context: Any) -> None:
    for member in context.ingress.members:
        queued = 30 if member.data_centre == "nadi-hall" else 0
        context.ingress.hear(member.node, in_use=10 if queued else 2, queued_routine=queued)


@then("at most {percent:g}% of {count:d} next choices stay in its data centre")
def step_leave(context: Any, percent: float, count: int) -> None:
    ingress = context.ingress
    own = {member.node for member in ingress.members if member.data_centre == "nadi-hall"}
    shares = ingress.shares(count)
    assert sum(shares[node] for node in own) * 100 <= percent, shares


@given("two data centres whose latency follows their share of the load 200 ms late")
def step_two_data_centres(context: Any) -> None:
    context.near_ms = lambda share: 20 + 40 * max(0.0, share - 0.7)
    context.far_ms = lambda share: 23 + 40 * max(0.0, share - 0.5)


@when("load that needs a little of the second one is spread for {seconds:d} s")
def step_spread(context: Any, seconds: int) -> None:
    from marjoramtide.policy._spill_over import SpillOver

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
    """One admission with its clock and the tickets that it started."""

    def __init__(self, admission: Admission) -> None:
        self.admission = admission
        self.now = START
        self.tickets = itertools.count(1)
        self.running: list[int] = []

    def offer(self, due_ms: float, urgent: bool = False, attempt: int = 1) -> tuple[int, Any]:
        ticket = next(self.tickets)
        profile = CallProfile(urgent, True, self.now + due_ms / 1000, attempt)
        decision = self.admission.offer(ticket, profile, self.now)
        if decision.verdict is Verdict.START:
            self.running.append(ticket)
        return ticket, decision

    def finish_oldest(self, duration_ms: float) -> list[int]:
        ticket = self.running.pop(0)
        started = self.admission.finished(ticket, self.now, duration_ms, True)
        self.running += started
        return started

    def warm_up(self, duration_ms: float) -> None:
        for _ in range(50):
            self.offer(100_000.0)
            self.now += duration_ms / 1000
            self.finish_oldest(duration_ms)

    def saturate(self, duration_ms: Any, count: int) -> float:
        """Keep the server full for ``count`` completions; return the last duration."""
        took = 0.0
        for _ in range(count):
            while self.offer(100_000.0, attempt=2)[1].verdict is Verdict.START:
                pass
            took = duration_ms(len(self.running))
            self.now += took / len(self.running) / 1000
            self.finish_oldest(took)
        return took


@given("an admission with {slots:d} slots, {urgent:d} of them urgent, and executions of {ms:d} ms")
def step_admission(context: Any, slots: int, urgent: int, ms: int) -> None:
    settings = RouteSettings(slots=slots, urgent_slots=urgent, queue_limit=40, min_limit=1)
    context.serving = Serving(make_admission(settings, START))
    context.serving.warm_up(float(ms))


@when("{count:d} routine requests and then 1 urgent request arrive")
def step_routine_then_urgent(context: Any, count: int) -> None:
    for _ in range(count):
        context.serving.offer(10_000.0)
    context.decision = context.serving.offer(500.0, urgent=True)[1]


@then("the urgent request starts at once")
def step_urgent_starts(context: Any) -> None:
    assert context.decision.verdict is Verdict.START, context.decision


@then("of 2 more urgent requests both are queued and start before any queued routine request")
def step_urgent_first(context: Any) -> None:
    serving = context.serving
    urgent = [serving.offer(500.0, urgent=True)[0] for _ in range(2)]
    serving.now += 0.02
    started = [ticket for _ in range(2) for ticket in serving.finish_oldest(20.0)]
    assert started == urgent, (started, urgent)


@when("urgent requests take 19 of 20 starts for {count:d} starts and 4 requests run")
def step_surge(context: Any, count: int) -> None:
    serving = context.serving
    for number in range(count):
        serving.offer(1000.0, urgent=number % 20 > 0)
        serving.now += 0.02
        serving.finish_oldest(20.0)
    for _ in range(4):
        serving.offer(1000.0, urgent=True)


@when("4 requests run and requests due in 400, 200 and 300 ms wait")
def step_waiting(context: Any) -> None:
    for _ in range(4):
        context.serving.offer(1000.0)
    context.due = {context.serving.offer(float(due))[0]: due for due in (400, 200, 300)}


@then("they start in the order 200, 300, 400")
def step_order(context: Any) -> None:
    started = [ticket for _ in range(3) for ticket in context.serving.finish_oldest(20.0)]
    assert [context.due[ticket] for ticket in started] == [200, 300, 400], started


@when("{count:d} requests due in {ms:d} ms arrive")
def step_arrive(context: Any, count: int, ms: int) -> None:
    context.decisions = [context.serving.offer(float(ms))[1] for _ in range(count)]


def refused(context: Any, decision: Any, reason: str) -> None:
    assert decision.verdict is Verdict.REJECT, decision
    assert decision.reason == reason, decision
    assert decision.retry_after_ms >= 1, decision


@then('a request due in {ms:d} ms is refused as "{reason}" with a time to come back')
def step_refused(context: Any, ms: int, reason: str) -> None:
    refused(context, context.serving.offer(float(ms))[1], reason)


@then('{run:d} run, {wait:d} wait and {no:d} were refused as "{reason}" with a time to come back')
def step_run_wait_refused(context: Any, run: int, wait: int, no: int, reason: str) -> None:
    verdicts = [decision.verdict for decision in context.decisions]
    expected = [Verdict.START] * run + [Verdict.QUEUE] * wait + [Verdict.REJECT] * no
    assert verdicts == expected, verdicts
    for decision in context.decisions[run + wait :]:
        refused(context, decision, reason)


@then("a request due in {ms:d} ms is queued")
def step_queued(context: Any, ms: int) -> None:
    assert context.serving.offer(float(ms))[1].verdict is Verdict.QUEUE


@then("with nothing running a request due in {ms:d} ms starts")
def step_starts(context: Any, ms: int) -> None:
    assert context.serving.offer(float(ms))[1].verdict is Verdict.START


@when("4 routine requests run, 1 routine request due in {ms:d} ms waits and 40 urgent ones arrive")
def step_pushed(context: Any, ms: int) -> None:
    for _ in range(4):
        context.serving.offer(1000.0)
    context.waiting, decision = context.serving.offer(float(ms))
    assert decision.verdict is Verdict.QUEUE, decision
    for _ in range(40):
        context.serving.offer(500.0, urgent=True)


@then("the waiting routine request is dropped 1 ms later")
def step_dropped(context: Any) -> None:
    serving = context.serving
    serving.now += 0.001
    assert serving.admission.next_expiry() <= serving.now
    assert serving.admission.expire(serving.now) == [context.waiting]


@when("executions that run together share a tenth of the processor for {count:d} completions")
def step_shared(context: Any, count: int) -> None:
    context.took = context.serving.saturate(lambda running: max(20.0, 20.0 * running), count)


@then("the limit falls below {most:d} and executions take less than half as long")
def step_limit_fell(context: Any, most: int) -> None:
    limit = context.serving.admission.report(context.serving.now).limit
    assert limit < most, limit
    assert context.took < 100.0, context.took


@then("the limit is 10 again after {count:d} completions with the processor back")
def step_limit_back(context: Any, count: int) -> None:
    context.serving.saturate(lambda running: 20.0, count)
    step_limit_is_10(context)


@when("each execution takes {ms:d} ms however many run, for {count:d} completions")
def step_alike(context: Any, ms: int, count: int) -> None:
    context.serving.saturate(lambda running: float(ms), count)


@then("the limit is 10 again")
def step_limit_is_10(context: Any) -> None:
    limit = context.serving.admission.report(context.serving.now).limit
    assert limit == 10, limit


@when("2 requests run for {ms:d} ms without an answer")
def step_stall(context: Any, ms: int) -> None:
    context.serving.offer(1000.0)
    context.serving.offer(1000.0)
    context.serving.now += ms / 1000


@then('a first attempt is refused as "{reason}" with a time to come back')
def step_first_refused(context: Any, reason: str) -> None:
    refused(context, context.serving.offer(1000.0)[1], reason)


@then("a second attempt starts")
def step_second_starts(context: Any) -> None:
    assert context.serving.offer(1000.0, attempt=2)[1].verdict is Verdict.START


@when("4 requests run and 3 wait for {ms:d} ms without an answer, 1 of them a second attempt")
def step_stall_queue(context: Any, ms: int) -> None:
    serving = context.serving
    for _ in range(4):
        serving.offer(1000.0)
    context.first = [serving.offer(1000.0)[0] for _ in range(2)]
    serving.offer(1000.0, attempt=2)
    serving.now += ms / 1000


@then("the 2 first attempts are dropped and the second attempt still waits")
def step_handed_back(context: Any) -> None:
    serving = context.serving
    assert serving.admission.next_expiry() <= serving.now
    assert serving.admission.expire(serving.now) == context.first
    assert serving.admission.next_expiry() > serving.now
    assert serving.admission.report(serving.now).queued_routine == 1


@when("{count:d} requests are given up after {ms:d} ms each")
def step_given_up(context: Any, count: int, ms: int) -> None:
    serving = context.serving
    for _ in range(count):
        ticket = serving.offer(1000.0)[0]
        serving.now += ms / 1000
        serving.admission.withdraw(ticket, serving.now)
    serving.running.clear()


@when("{count:d} requests fail after {ms:d} ms each")
def step_fail(context: Any, count: int, ms: int) -> None:
    serving = context.serving
    for _ in range(count):
        ticket = serving.offer(1000.0)[0]
        serving.now += ms / 1000
        serving.admission.finished(ticket, serving.now, float(ms), False)
    serving.running.clear()


@then("the reported service time is at least {ms:d} ms")
def step_reported_time(context: Any, ms: int) -> None:
    report = context.serving.admission.report(context.serving.now)
    assert report.service_time_ms >= ms, report


@then("the reported success rate is below {share:g}")
def step_reported_success(context: Any, share: float) -> None:
    report = context.serving.admission.report(context.serving.now)
    assert report.success_rate < share, report


@when("{count:d} requests due in {ms:d} ms arrive and the server drains")
def step_drains(context: Any, count: int, ms: int) -> None:
    step_arrive(context, count, ms)
    context.serving.admission.set_accepting(False)


@then("all {count:d} requests run to their end")
def step_all_run(context: Any, count: int) -> None:
    ran = 0
    while context.serving.running:
        context.serving.finish_oldest(20.0)
        ran += 1
    assert ran == count, ran


@when("4 requests run and {count:d} routine requests wait")
def step_full_queue(context: Any, count: int) -> None:
    for _ in range(4 + count):
        context.serving.offer(800.0)


@then("an urgent request is queued")
def step_urgent_queued(context: Any) -> None:
    assert context.serving.offer(800.0, urgent=True)[1].verdict is Verdict.QUEUE


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


@then("a service of 1 request a minute may still retry")
def step_quiet_service(context: Any) -> None:
    budget = RetryBudget(0.1)
    budget.deposit(START)
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


@then("all of them are told to return within {seconds:d} s")
def step_return_in_time(context: Any, seconds: int) -> None:
    assert max(context.returns) <= seconds * 1000, max(context.returns)


@given("a measuring budget of 1 read a second and {share:g} of {slots:d} slots")
def step_measuring(context: Any, share: float, slots: int) -> None:
    context.measuring = lambda: MeasuringBudget(per_s=1.0, share=share, slots=slots)


def count_reads(
    budget: MeasuringBudget, seconds: int, traffic: list[bool], took_ms: float = 5.0
) -> int:
    """Run for ``seconds``, with the given results of requests at each tenth of a second."""
    reads = 0
    for tick in range(seconds * 10):
        now = START + tick / 10
        for succeeded in traffic:
            budget.traffic(now, succeeded)
        if budget.next_read_at(now) <= now:
            budget.read(now, took_ms)
            reads += 1
    return reads


@then("it reads at most {most:d} times in {seconds:d} s whatever happens")
def step_reads_at_worst(context: Any, most: int, seconds: int) -> None:
    assert count_reads(context.measuring(), seconds, [False, True]) <= most


@then("with steady traffic it reads at most {most:d} times in {seconds:d} s")
def step_reads_busy(context: Any, most: int, seconds: int) -> None:
    assert count_reads(context.measuring(), seconds, [True]) <= most


@then("when idle it reads between {low:d} and {high:d} times in {seconds:d} s")
def step_reads_idle(context: Any, low: int, high: int, seconds: int) -> None:
    assert low <= count_reads(context.measuring(), seconds, []) <= high


@then("a failed request brings the next read forward to {seconds:g} s after the last")
def step_read_forward(context: Any, seconds: float) -> None:
    budget = context.measuring()
    budget.read(START)
    budget.traffic(START + 0.1, succeeded=True)
    assert budget.next_read_at(START + 0.1) > START + seconds
    budget.traffic(START + 0.2, succeeded=False)
    assert budget.next_read_at(START + 0.2) == START + seconds


@then("with reads of {ms:d} ms it reads at most {most:d} times in {seconds:d} s")
def step_slow_reads(context: Any, ms: int, most: int, seconds: int) -> None:
    reads = count_reads(context.measuring(), seconds, [False], float(ms))
    assert reads <= most, reads
