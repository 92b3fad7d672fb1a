"""Steps for the decisions that depend on a server's slowdown."""

import heapq
import random
from typing import Any

from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]

from marjoramtide.exchange import LoadReport
from marjoramtide.membership import Member, MemberState
from marjoramtide.policy import (
    CallProfile,
    Interference,
    Verdict,
    make_admission,
    make_selector,
)
from marjoramtide.policy.admission._knee_limiter import KneeLimiter
from marjoramtide.policy.pace._change_grid import ChangeGrid
from marjoramtide.policy.pace._pace import Pace
from marjoramtide.policy.placing._forecast_selector import ForecastSelector
from marjoramtide.settings import RouteSettings

use_step_matcher("parse")

PERIOD_S = 1 / 3
SLOW_SHARE = 0.25
NOW = 100.0
READ_INTERVAL_S = 0.001
COLD_SLOWDOWN = 2.0
COLD_SEEN_S = 1.65


class Neighbours:
    """A server that is four times slower in a quarter of its intervals."""

    def __init__(self, *, regular: bool) -> None:
        self.rng = random.Random(7)
        self.regular = regular
        self.slowdown = 1.0
        self.changes_at = 0.17

    def at(self, now: float) -> float:
        while now >= self.changes_at:
            self.slowdown = 4.0 if self.rng.random() < SLOW_SHARE else 1.0
            self.changes_at += PERIOD_S if self.regular else self.rng.expovariate(1 / PERIOD_S)
        return self.slowdown


@given("a server whose slowdown changes at every third of a second, read 40 times a second")
def given_regular(context: Any) -> None:
    context.neighbours = Neighbours(regular=True)


@given("a server whose slowdown changes at any time, read 40 times a second")
def given_irregular(context: Any) -> None:
    context.neighbours = Neighbours(regular=False)


@given("reads of it are up to {milliseconds:d} ms late")
def given_late(context: Any, milliseconds: int) -> None:
    rng = random.Random(11)
    context.lateness = lambda: rng.uniform(0, milliseconds / 1000)


@when("it is followed for {seconds:d} s")
def when_passed(context: Any, seconds: int) -> None:
    context.interference = Interference()
    context.now = 0.0
    context.predictions, context.wrong, context.discarded = 0, 0, 0
    context.reads = read_until(context, float(seconds))


@then("the grid of its changes was discarded at most once")
def then_kept(context: Any) -> None:
    assert context.interference.grid is not None
    assert context.discarded <= 1, context.discarded


@then("it was read fewer than {count:d} times a second")
def then_few(context: Any, count: int) -> None:
    assert context.reads < context.now * count, context.reads / context.now


def read_until(context: Any, until: float) -> int:
    """Read the slowdown at the preferred times; return how often."""
    reads = 0
    seen = context.interference
    lateness = getattr(context, "lateness", lambda: 0.0)
    while context.now < until:
        before = seen.slowdown
        held_until = context.now + (seen.holds_s(context.now) or 0.0)
        context.now = max(context.now + 0.002, seen.preferred_check_at(context.now)) + lateness()
        had_grid = seen.grid is not None
        changed = seen.observe(context.neighbours.at(context.now), context.now)
        context.predictions += 1
        context.wrong += changed and context.now < held_until and before != seen.slowdown
        context.discarded += had_grid and seen.grid is None
        reads += 1
    return reads


@then("the next change is known to within {milliseconds:d} ms")
def change_known(context: Any, milliseconds: int) -> None:
    holds_s = context.interference.holds_s(context.now)
    assert holds_s is not None
    off = (context.now + holds_s - context.neighbours.changes_at) / PERIOD_S
    assert abs(off - round(off)) * PERIOD_S * 1000 <= milliseconds, off


@then("reads for the next {seconds:d} s are fewer than {count:d} a second")
def few_reads(context: Any, seconds: int, count: int) -> None:
    assert read_until(context, context.now + seconds) < seconds * count


@then("at most 1 in {count:d} predictions that the slowdown holds was wrong")
def rarely_wrong(context: Any, count: int) -> None:
    assert context.wrong * count <= context.predictions, (context.wrong, context.predictions)


@given("a server that was {factor:d} times slower from {begin:f} s to {end:f} s")
def given_slow_interval(context: Any, factor: int, begin: float, end: float) -> None:
    context.interference = Interference()
    for step in range(round((end + 1) / READ_INTERVAL_S)):
        now = step * READ_INTERVAL_S
        slowed = begin <= now < end
        context.interference.observe(factor if slowed else 1.0, now)


@then("work from {begin:f} s to {end:f} s counts as {milliseconds:d} ms")
def counts_as(context: Any, begin: float, end: float, milliseconds: int) -> None:
    counted = context.interference.work_ms(begin, end)
    assert abs(counted - milliseconds) < 2, counted


@given("nodes that report their slowdown")
def given_nodes(context: Any) -> None:
    rows = list(context.table)
    members = [
        Member(row["node"], "s", "r", row["data centre"], "p", "g", "o", MemberState.READY)
        for row in rows
    ]
    own = next((each for each in members if each.node == "own"), None)
    here = own or Member("ingress", "t", "r", "a", "p", "g", "o", MemberState.READY)
    settings = RouteSettings(service="s", selector="forecast")
    selector = make_selector(settings, here, random.Random(3))
    assert isinstance(selector, ForecastSelector)
    selector.update_members(members, NOW)
    for sequence, row in enumerate(rows, start=1):
        report = LoadReport(
            in_use=1,
            limit=8,
            service_time_ms=100.0,
            sequence=sequence,
            slowdown=float(row["slowdown"]),
            holds_ms=float(row["holds for ms"]),
            period_ms=300.0,
            usual_slowdown=1.75,
        )
        selector.reported(row["node"], report, NOW)
    context.selector = selector


@given("requests of a kind that runs {milliseconds:d} ms")
def given_kind(context: Any, milliseconds: int) -> None:
    for _ in range(30):
        context.selector.answered(
            "nobody", None, 1.0, True, NOW, kind="k", work_ms=float(milliseconds)
        )
    for view in context.selector.views.values():
        context.selector.work_times.setdefault("k", _work(milliseconds))
        assert view.report is not None


def _work(milliseconds: float) -> Any:
    from marjoramtide.policy.pace._work_times import WorkTimes

    work = WorkTimes()
    work.add(milliseconds)
    return work


def profile(left_ms: float, attempt: int = 1) -> CallProfile:
    goal = NOW + left_ms / 1000
    return CallProfile(False, False, goal + 0.5, attempt, "k", goal)


@given('this node gets no bulletins from "{node}"')
def given_no_bulletins(context: Any, node: str) -> None:
    context.selector.views[node].sends_bulletins = False


@given('there is no report of "{node}" yet')
def given_no_report(context: Any, node: str) -> None:
    context.selector.views[node].report = None


@when("one with {left_ms:d} ms left is placed {count:d} times")
def when_placed(context: Any, left_ms: int, count: int) -> None:
    context.places = [context.selector.choose(profile(left_ms), NOW) for _ in range(count)]


@when("one with {left_ms:d} ms left is placed {count:d} times, {later_ms:d} ms later")
def when_placed_later(context: Any, left_ms: int, count: int, later_ms: int) -> None:
    now = NOW + later_ms / 1000
    wanted = profile(left_ms + later_ms)
    context.places = [context.selector.choose(wanted, now) for _ in range(count)]


@then('it goes to "{node}" {count:d} times')
def goes_to(context: Any, node: str, count: int) -> None:
    assert context.places.count(node) == count, context.places


@then("a first attempt with {left_ms:d} ms left is sent to one of them")
def sent_to_one(context: Any, left_ms: int) -> None:
    assert context.selector.choose(profile(left_ms), NOW) is not None


@then("a second attempt with {left_ms:d} ms left is sent to none")
def sent_to_none(context: Any, left_ms: int) -> None:
    assert context.selector.choose(profile(left_ms, 2), NOW) is None


@given("a server of {slots:d} slots that takes {factor:f} times as long above {knee:d} at once")
def given_knee(context: Any, slots: int, factor: float, knee: int) -> None:
    context.limiter = KneeLimiter(slots)
    context.duration_ms = lambda running: 100.0 * (factor if running > knee else 1.0)


@when("it is loaded up to its limit")
def when_loaded(context: Any) -> None:
    rng = random.Random(5)
    for _ in range(200):
        running = rng.randint(max(1, context.limiter.limit - 4), context.limiter.limit)
        duration_ms = context.duration_ms(running) * rng.uniform(0.7, 1.3)
        context.limiter.observe(duration_ms, True, True, running)


@then("at most {limit:d} run at once after 200 executions")
def then_limit(context: Any, limit: int) -> None:
    assert context.limiter.limit == limit, context.limiter


@given(
    "a server of {slots:d} slots that runs {run_ms:d} ms, and requests with a goal of "
    "{goal_ms:d} ms and {left_ms:d} ms in all"
)
def given_server(context: Any, slots: int, run_ms: int, goal_ms: int, left_ms: int) -> None:
    settings = RouteSettings(service="s", slots=slots, limiter="fixed", urgent_slots=0)
    context.admission = make_admission(settings, 0.0)
    context.run_s, context.goal_s, context.left_s = run_ms / 1000, goal_ms / 1000, left_ms / 1000


@given(
    "its neighbours slow it down {times:d} times in a third of its intervals of {interval_ms:d} ms"
)
def given_neighbours(context: Any, times: int, interval_ms: int) -> None:
    context.times, context.interval_s = float(times), interval_ms / 1000


@when("{per_s:d} requests a second are sent to it for {seconds:d} s")
def when_load(context: Any, per_s: int, seconds: int) -> None:
    """Simulate arrivals, ends, changes of the slowdown and expiries in order of time."""
    admission, rng = context.admission, random.Random(11)
    arrived: dict[int, float] = {}
    slowed: dict[int, float] = {}
    pace = 1.0
    context.answered_ms, context.refused_ms = [], []
    events: list[tuple[float, str, int]] = []
    at = 0.0
    for ticket in range(1, per_s * seconds + 1):
        at += rng.expovariate(per_s)
        events.append((at, "arrives", ticket))
    if "interval_s" in context:
        count = int(seconds / context.interval_s)
        events += [(number * context.interval_s, "changes", 0) for number in range(count)]
    heapq.heapify(events)

    def start(tickets: list[int], now: float) -> None:
        for ticket in tickets:
            slowed[ticket] = pace
            run_s = context.run_s * rng.uniform(0.8, 1.2) * pace
            heapq.heappush(events, (now + run_s, "ends", ticket))

    while events:
        now, what, ticket = heapq.heappop(events)
        if what == "arrives":
            arrived[ticket] = now
            goal, deadline = now + context.goal_s, now + context.left_s
            request = CallProfile(False, True, deadline, 2, "k", goal)
            verdict = admission.offer(ticket, request, now).verdict
            if verdict is Verdict.START:
                start([ticket], now)
            elif verdict is Verdict.REJECT:
                context.refused_ms.append(0.0)
        elif what == "ends":
            context.answered_ms.append((now - arrived[ticket]) * 1000)
            start(admission.finished(ticket, now, context.run_s * 1000, True), now)
        else:
            pace = context.times if rng.random() < 1 / 3 else 1.0
            mean = 1 + (context.times - 1) / 3
            admission.set_pace(Pace(pace, now + context.interval_s, mean))
            start(admission.resume(now), now)
        due = admission.next_expiry()
        if due is not None and (not events or due <= events[0][0]):
            late = admission.expire(max(now, due))
            context.refused_ms += [(max(now, due) - arrived[each]) * 1000 for each in late]
    context.seconds, context.request_count = seconds, per_s * seconds


@then("at least {share:d} in 100 of all requests are answered before the goal")
def all_in_time(context: Any, share: int) -> None:
    good = sum(took <= context.goal_s * 1000 for took in context.answered_ms)
    assert good * 100 >= share * context.request_count, (good, context.request_count)


@given("an admission that knows requests of {run_ms:d} ms, fast until a moment ago")
def given_fast(context: Any, run_ms: int) -> None:
    settings = RouteSettings(service="s", slots=8, limiter="fixed", urgent_slots=0)
    context.admission = make_admission(settings, NOW)
    known = CallProfile(False, True, NOW + 9, 1, "k", NOW + 9)
    assert context.admission.offer(1, known, NOW).verdict is Verdict.START
    context.admission.finished(1, NOW + run_ms / 1000, float(run_ms), True)
    context.now = context.changed_at = NOW + 1.0
    context.admission.set_pace(Pace(1.0, context.changed_at, 2.0))


@when("a request comes {milliseconds:d} ms after the time of change")
def when_comes_after(context: Any, milliseconds: int) -> None:
    context.now += milliseconds / 1000
    request = CallProfile(False, True, context.now + 9, 1, "k", context.now + 9)
    context.verdict = context.admission.offer(2, request, context.now).verdict


@given("an admission that knows requests of {run_ms:d} ms, and a server that is cold")
def given_cold(context: Any, run_ms: int) -> None:
    given_fast(context, run_ms)
    cold = Interference()
    for number in range(round(COLD_SEEN_S / READ_INTERVAL_S)):
        cold.observe(COLD_SLOWDOWN, NOW + number * READ_INTERVAL_S)
    cold.grid = ChangeGrid(NOW, 0.3, 0.001, 0.0001)
    context.now = NOW + COLD_SEEN_S
    context.admission.set_pace(cold.pace(context.now))


@given(
    "an admission that knows requests of {run_ms:d} ms, "
    "and a server that was found slowed {times:d} times"
)
def given_found_slowed(context: Any, run_ms: int, times: int) -> None:
    given_fast(context, run_ms)
    context.now = NOW + 2.0
    context.interference = Interference()
    context.interference.observe(float(times), context.now)
    context.admission.set_pace(context.interference.pace(context.now))
    context.now += READ_INTERVAL_S


@given("an admission that knows nothing, and a server that was found slowed {times:d} times")
def given_unknown_slowed(context: Any, times: int) -> None:
    settings = RouteSettings(service="s", slots=8, limiter="fixed", urgent_slots=0)
    context.admission = make_admission(settings, NOW)
    context.now = NOW
    interference = Interference()
    interference.observe(1.0, NOW - 0.1)
    interference.observe(float(times), NOW)
    context.admission.set_pace(interference.pace(NOW))


@when("the server is still slow {milliseconds:d} ms later")
def when_still_slow(context: Any, milliseconds: int) -> None:
    context.now += milliseconds / 1000
    context.interference.observe(context.interference.slowdown, context.now)
    context.admission.set_pace(context.interference.pace(context.now))


@then("at most {limit:d} run at once at first")
def limit_at_first(context: Any, limit: int) -> None:
    assert context.limiter.limit <= limit, context.limiter


@when("a request comes")
def when_comes(context: Any) -> None:
    when_comes_after(context, 0)


@then("it starts at once")
def starts_at_once(context: Any) -> None:
    assert context.verdict is Verdict.START, context.verdict


@then("it waits")
def then_waits(context: Any) -> None:
    assert context.verdict is Verdict.QUEUE, context.verdict
    assert context.admission.resume(context.now) == []


@when("a read shows that the server is fast")
def when_read(context: Any) -> None:
    context.admission.set_pace(Pace(1.0, context.changed_at + 0.3, 2.0))


@when("no read comes for {milliseconds:d} ms")
def when_no_read(context: Any, milliseconds: int) -> None:
    due = context.admission.next_expiry()
    context.now = context.changed_at + milliseconds / 1000
    assert due is not None and due <= context.now, due


@then("it starts")
def then_starts(context: Any) -> None:
    assert context.admission.resume(context.now) == [2]


@then("at least {share:d} in 100 of the answers come before the goal")
def in_time(context: Any, share: int) -> None:
    good = sum(took <= context.goal_s * 1000 for took in context.answered_ms)
    assert good * 100 >= share * len(context.answered_ms), (good, len(context.answered_ms))


@then("at least {per_s:d} a second are answered")
def rate(context: Any, per_s: int) -> None:
    assert len(context.answered_ms) >= per_s * context.seconds, len(context.answered_ms)


@then("{share:d} in 100 refusals come within {milliseconds:d} ms")
def refused_soon(context: Any, share: int, milliseconds: int) -> None:
    soon = sum(took <= milliseconds for took in context.refused_ms)
    assert soon * 100 >= share * len(context.refused_ms), (soon, len(context.refused_ms))
