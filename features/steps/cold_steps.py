"""Steps for cold backend servers: one admission under load, in virtual time."""

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
class SimulatedServer:
    """One server with its admission; requests arrive evenly and each runs for ``work_s``."""

    work_s: float
    admission: EdfAdmission
    now: float = START
    ends: list[tuple[float, int]] = attrs.Factory(list)
    tickets: "itertools.count[int]" = attrs.Factory(lambda: itertools.count(1))
    ranks: dict[int, int] = attrs.Factory(dict)
    started: dict[int, float] = attrs.Factory(dict)
    queued: set[int] = attrs.Factory(set)
    refusals: list[int] = attrs.Factory(list)

    def arrive(self, per_s: dict[int, float], seconds: float) -> None:
        """Let requests of some ranks arrive, each at its rate per second."""
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
            self.start([ticket])
        elif decision.verdict is Verdict.QUEUE:
            self.queued.add(ticket)
        else:
            self.refusals.append(decision.retry_after_ms)

    def run_until(self, until: float) -> None:
        """Let requests end and start until a time."""
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
                self.start(self.admission.finished(ticket, self.now, work_ms, True))
            else:
                self.admission.expire(self.now)
                self.start(self.admission.resume(self.now))
        self.now = until

    def start(self, tickets: list[int]) -> None:
        for ticket in tickets:
            self.started[ticket] = self.now
            heapq.heappush(self.ends, (self.now + self.work_s, ticket))

    def max_per_second(self) -> int:
        """Return how many started in the busiest second."""
        times = sorted(self.started.values())
        return max(
            (sum(start <= at < start + 1 for at in times) for start in times),
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
    server = context.server = SimulatedServer(ms / 1000, admission)
    if history == "that has just started cold":
        admission.set_cold_time(COLD_S, START)
    elif history == "cold since before its node started":
        admission.set_cold_time(COLD_S - 0.2, START)
    else:
        server.now += 5.0
        if history == "that becomes cold after 16 in 100 ms":
            server.arrive({1: 160.0}, 0.1)
        else:
            server.arrive({1: float(history.split()[-3])}, 2.0)
        admission.set_cold_time(COLD_S, server.now)
    context.started_before = len(server.started)


@when("{rate:d} requests a second arrive for {seconds:d} s")
def when_requests_arrive(context: Any, rate: int, seconds: int) -> None:
    context.started_earlier = len(context.server.started)
    context.server.arrive({1: float(rate)}, float(seconds))


@when("{first:d} requests of rank 0 and {second:d} of rank 2 a second arrive for {seconds:d} s")
def when_ranks_arrive(context: Any, first: int, second: int, seconds: int) -> None:
    context.server.arrive({0: float(first), 2: float(second)}, float(seconds))


@when("it reports that it is warm")
def when_warm(context: Any) -> None:
    context.server.admission.set_cold_time(0.0, context.server.now)


@then("at most {most:d} requests start within any second")
def then_at_most(context: Any, most: int) -> None:
    assert context.server.max_per_second() <= most, context.server.max_per_second()


@then("at least {least:d} of them start")
def then_at_least(context: Any, least: int) -> None:
    started_now = len(context.server.started) - context.started_before
    assert started_now >= least, started_now


@then("at least {least:d} of them start in the last second")
def then_at_least_lately(context: Any, least: int) -> None:
    started_now = len(context.server.started) - context.started_earlier
    assert started_now >= least, started_now


@then("nothing starts in the node's first second")
def then_none_at_first(context: Any) -> None:
    assert min(context.server.started.values()) >= START + 1.0, context.server.started


@then("each rejection came at once, with a retry delay")
def then_refused(context: Any) -> None:
    assert context.server.refusals and min(context.server.refusals) >= 1, context.server.refusals[
        :5
    ]


@then("at least {share:d} in 100 of the queued ones started")
def then_queued_started(context: Any, share: int) -> None:
    server = context.server
    started = len(server.queued & server.started.keys())
    assert started * 100 >= share * len(server.queued), (started, len(server.queued))


@then("at least {share:d} in 100 of rank {rank:d} start")
def then_rank_starts(context: Any, share: int, rank: int) -> None:
    server = context.server
    arrived = [ticket for ticket, each in server.ranks.items() if each == rank]
    started = [ticket for ticket in arrived if ticket in server.started]
    assert len(started) * 100 >= share * len(arrived), (len(started), len(arrived))


@then("it is reported with a limit of {limit:d}")
def then_limit(context: Any, limit: int) -> None:
    report = context.server.admission.report(context.server.now)
    assert report.limit == limit, report
