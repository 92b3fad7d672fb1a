"""Steps on cold backend servers: one admission under a load, in virtual time."""

import heapq
import itertools
from typing import Any

import attrs
from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]

from marjoramtide.policy import CallProfile, Verdict, make_admission
from marjoramtide.policy.admission._edf_admission import EdfAdmission
from marjoramtide.settings import RouteSettings

use_step_matcher("parse")

COLD_S = 3.0
DEADLINE_S = 0.8
START = 1000.0


@attrs.define
class Play:
    """One server with its admission; requests come evenly and run for as long as they take."""

    work_s: float
    admission: EdfAdmission
    now: float = START
    ends: list[tuple[float, int]] = attrs.Factory(list)
    tickets: "itertools.count[int]" = attrs.Factory(lambda: itertools.count(1))
    ranks: dict[int, int] = attrs.Factory(dict)
    begun: dict[int, float] = attrs.Factory(dict)
    queued: set[int] = attrs.Factory(set)
    refusals: list[int] = attrs.Factory(list)

    def come(self, per_s: dict[int, float], seconds: float) -> None:
        """Let requests of some ranks come, so many of each a second."""
        until = self.now + seconds
        due = sorted(
            (self.now + number / rate, rank)
            for rank, rate in per_s.items()
            for number in range(round(rate * seconds))
        )
        for at, rank in due:
            self.run_until(at)
            self.offer(rank)
        self.run_until(until)

    def offer(self, rank: int) -> None:
        ticket = next(self.tickets)
        self.ranks[ticket] = rank
        profile = CallProfile(False, True, self.now + DEADLINE_S, rank=rank)
        decision = self.admission.offer(ticket, profile, self.now)
        if decision.verdict is Verdict.START:
            self.begin([ticket])
        elif decision.verdict is Verdict.QUEUE:
            self.queued.add(ticket)
        else:
            self.refusals.append(decision.retry_after_ms)

    def run_until(self, until: float) -> None:
        """Let requests end and begin until a time."""
        while True:
            wake = self.admission.next_expiry()
            end = self.ends[0][0] if self.ends else None
            due = min((each for each in (wake, end) if each is not None), default=None)
            if due is None or due > until:
                break
            self.now = max(self.now, due)
            if end is not None and end <= self.now:
                _, ticket = heapq.heappop(self.ends)
                work_ms = self.work_s * 1000
                self.begin(self.admission.finished(ticket, self.now, work_ms, True))
            else:
                self.admission.expire(self.now)
                self.begin(self.admission.resume(self.now))
        self.now = until

    def begin(self, tickets: list[int]) -> None:
        for ticket in tickets:
            self.begun[ticket] = self.now
            heapq.heappush(self.ends, (self.now + self.work_s, ticket))

    def most_in_a_second(self) -> int:
        """Return how many began in the busiest second."""
        times = sorted(self.begun.values())
        return max(
            (sum(begin <= at < begin + 1 for at in times) for begin in times),
            default=0,
        )


@given("a server of {slots:d} slots whose work takes {ms:d} ms, {history}")
def given_server(context: Any, slots: int, ms: int, history: str) -> None:
    settings = RouteSettings(
        slots=slots,
        urgent_slots=0,
        limiter="fixed",
        cold_start_s=COLD_S,
        cold_per_s=7.5,
        cold_excess=1.5,
        cold_slack=8.0,
    )
    admission = make_admission(settings, START)
    assert isinstance(admission, EdfAdmission)
    admission.reconfigure(settings)
    play = context.play = Play(ms / 1000, admission)
    if history == "that has just started cold":
        admission.set_cold_time(COLD_S, START)
    elif history == "cold since before its node started":
        admission.set_cold_time(COLD_S - 0.2, START)
    else:
        play.now += 5.0
        if history == "that turns cold after 16 in 100 ms":
            play.come({1: 160.0}, 0.1)
        else:
            play.come({1: float(history.split()[-3])}, 2.0)
        admission.set_cold_time(COLD_S, play.now)
    context.before = len(play.begun)


@when("{rate:d} requests a second come for {seconds:d} s")
def when_come(context: Any, rate: int, seconds: int) -> None:
    context.earlier = len(context.play.begun)
    context.play.come({1: float(rate)}, float(seconds))


@when("{first:d} requests of rank 0 and {second:d} of rank 2 a second come for {seconds:d} s")
def when_ranks_come(context: Any, first: int, second: int, seconds: int) -> None:
    context.play.come({0: float(first), 2: float(second)}, float(seconds))


@when("it says that it is warm")
def when_warm(context: Any) -> None:
    context.play.admission.set_cold_time(0.0, context.play.now)


@then("no second brings it more than {most:d} requests")
def then_at_most(context: Any, most: int) -> None:
    assert context.play.most_in_a_second() <= most, context.play.most_in_a_second()


@then("it is given at least {least:d} of them")
def then_at_least(context: Any, least: int) -> None:
    given_now = len(context.play.begun) - context.before
    assert given_now >= least, given_now


@then("it is given at least {least:d} of them in the last second")
def then_at_least_lately(context: Any, least: int) -> None:
    given_now = len(context.play.begun) - context.earlier
    assert given_now >= least, given_now


@then("nothing begins within the first second of the node")
def then_none_at_first(context: Any) -> None:
    assert min(context.play.begun.values()) >= START + 1.0, context.play.begun


@then("each refusal came at once, with a time to come back")
def then_refused(context: Any) -> None:
    assert context.play.refusals and min(context.play.refusals) >= 1, context.play.refusals[:5]


@then("of those that waited at least {share:d} in 100 began")
def then_began(context: Any, share: int) -> None:
    play = context.play
    began = len(play.queued & play.begun.keys())
    assert began * 100 >= share * len(play.queued), (began, len(play.queued))


@then("at least {share:d} in 100 of rank {rank:d} begin")
def then_rank_begins(context: Any, share: int, rank: int) -> None:
    play = context.play
    came = [ticket for ticket, each in play.ranks.items() if each == rank]
    began = [ticket for ticket in came if ticket in play.begun]
    assert len(began) * 100 >= share * len(came), (len(began), len(came))


@then("it is told of with a limit of {limit:d}")
def then_limit(context: Any, limit: int) -> None:
    report = context.play.admission.report(context.play.now)
    assert report.limit == limit, report
