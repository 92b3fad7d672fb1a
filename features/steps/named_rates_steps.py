"""Steps for one admission whose server requests a rate limit, in virtual time."""

import math
from typing import Any

from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]

from features.steps.cold_steps import START, SimulatedServer
from marjoramtide.policy import CallProfile, Decision, Verdict, make_admission
from marjoramtide.policy.admission._edf_admission import EdfAdmission
from marjoramtide.settings import RouteSettings

use_step_matcher("parse")

WARM_UP_S = 5.0
DEADLINE_S = 1.2


@given("a server of {slots:d} slots with work of {ms:d} ms, which gets {rate:d} requests a second")
def given_server(context: Any, slots: int, ms: int, rate: int) -> None:
    settings = RouteSettings(
        slots=slots, urgent_slots=0, limiter="fixed", cold_per_s=7.5, cold_excess=1.5
    )
    admission = make_admission(settings, START)
    assert isinstance(admission, EdfAdmission)
    admission.reconfigure(settings)
    context.server = SimulatedServer(ms / 1000, admission)
    context.server.arrive({1: float(rate)} if rate else {}, WARM_UP_S if rate else 0.0)
    context.requested_at = None


@when("it requests {rate} a second while {load:d} arrive for {seconds:d} s")
def when_requests_rate(context: Any, rate: str, load: int, seconds: int) -> None:
    server = context.server
    if context.requested_at is None:
        context.requested_at = server.now
    context.started_before = len(server.started)
    server.admission.set_rate_limit(float(rate), server.now, server.now)
    server.arrive({1: float(load)}, float(seconds))


@when(
    "it becomes cold with {cold:g} a second, and requests {rate} a second "
    "while {load:d} arrive for {seconds:d} s"
)
def when_cold(context: Any, cold: float, rate: str, load: int, seconds: int) -> None:
    server = context.server
    server.admission.set_cold_time(float(seconds), server.now)
    when_requests_rate(context, rate, load, seconds)


@when("it requests no limit while {load:d} arrive for {seconds:d} s")
def when_limit_ends(context: Any, load: int, seconds: int) -> None:
    server = context.server
    server.admission.set_rate_limit(None, server.now, server.now)
    server.start(server.admission.resume(server.now))
    server.arrive({1: float(load)}, float(seconds))


def started_within(context: Any, seconds: float) -> int:
    server = context.server
    return sum(at > server.now - seconds for at in server.started.values())


@then("from {grace:d} s after that at most {most:d} requests start within any {window:d} s")
def then_most(context: Any, grace: int, window: int, most: int) -> None:
    check_windows(context, sorted(context.server.started.values()), grace, window, most)


@then("counted from then on at most {most:d} requests start within any {window:d} s")
def then_most_since(context: Any, window: int, most: int) -> None:
    times = sorted(at for at in context.server.started.values() if at > context.requested_at)
    check_windows(context, times, 0, window, most)


def check_windows(context: Any, times: list[float], grace: int, window: int, most: int) -> None:
    binding = context.requested_at + grace
    ends = [binding, *(at for at in times if at >= binding)]
    worst = max(sum(end - window < at <= end for at in times) for end in ends)
    assert worst <= most, worst


@then("at least {least:d} of them start in the last {seconds:d} s")
def then_least(context: Any, least: int, seconds: int) -> None:
    assert started_within(context, seconds) >= least, started_within(context, seconds)


@then("in the last {seconds:d} s at most {most:d} of them start")
def then_at_most(context: Any, seconds: int, most: int) -> None:
    assert started_within(context, seconds) <= most, started_within(context, seconds)


@then("at most {most:d} of them start")
def then_at_most_since(context: Any, most: int) -> None:
    assert len(context.server.started) - context.started_before <= most, len(context.server.started)


def offer(context: Any, attempt: int, goal_s: float) -> Decision:
    server = context.server
    due = server.now + DEADLINE_S
    profile = CallProfile(False, True, due, attempt=attempt, goal=server.now + goal_s)
    return server.admission.offer(10**9 + attempt, profile, server.now)


@then(
    "a first attempt with a goal in {ms:d} ms is rejected as {reason}, "
    "to retry in {least:d} to {most:d} ms"
)
def then_refused(context: Any, ms: int, reason: str, least: int, most: int) -> None:
    decision = offer(context, 1, ms / 1000)
    assert decision.reason == reason and least <= decision.retry_after_ms <= most, decision


@then(
    "a first attempt without a goal is rejected as {reason}, to retry in {least:d} to {most:d} ms"
)
def then_refused_without(context: Any, reason: str, least: int, most: int) -> None:
    decision = offer(context, 1, math.inf)
    assert decision.reason == reason and least <= decision.retry_after_ms <= most, decision


@then("a second attempt due in {ms:d} ms is queued")
def then_queued(context: Any, ms: int) -> None:
    server = context.server
    # Let the queue become empty.
    server.arrive({}, 2.0)
    server.offer(1)
    server.offer(1)
    decision = offer(context, 2, ms / 1000)
    assert decision.verdict is Verdict.QUEUE, decision


@then("it is reported with a concurrency of {limit:d}")
def then_reported(context: Any, limit: int) -> None:
    assert context.server.admission.report(context.server.now).limit == limit
