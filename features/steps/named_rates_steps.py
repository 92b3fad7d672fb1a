"""Steps on one admission whose server names a rate, in virtual time."""

import math
from typing import Any

from behave import given, then, use_step_matcher, when  # type: ignore[attr-defined]

from features.steps.cold_steps import START, Play
from marjoramtide.policy import CallProfile, Decision, Verdict, make_admission
from marjoramtide.policy.admission._edf_admission import EdfAdmission
from marjoramtide.settings import RouteSettings

use_step_matcher("parse")

BEFORE_S = 5.0
DUE_S = 1.2


@given("a server of {slots:d} slots with work of {ms:d} ms, which gets {rate:d} requests a second")
def given_server(context: Any, slots: int, ms: int, rate: int) -> None:
    settings = RouteSettings(
        slots=slots, urgent_slots=0, limiter="fixed", cold_per_s=7.5, cold_excess=1.5
    )
    admission = make_admission(settings, START)
    assert isinstance(admission, EdfAdmission)
    admission.reconfigure(settings)
    context.play = Play(ms / 1000, admission)
    context.play.come({1: float(rate)} if rate else {}, BEFORE_S if rate else 0.0)
    context.named_at = None


@when("it names {rate} a second while {load:d} come for {seconds:d} s")
def when_names(context: Any, rate: str, load: int, seconds: int) -> None:
    play = context.play
    if context.named_at is None:
        context.named_at = play.now
    context.before = len(play.begun)
    play.admission.set_rate_limit(float(rate), play.now, play.now)
    play.come({1: float(load)}, float(seconds))


@when(
    "it turns cold, bearing {cold:g} a second, and names {rate} a second "
    "while {load:d} come for {seconds:d} s"
)
def when_cold(context: Any, cold: float, rate: str, load: int, seconds: int) -> None:
    play = context.play
    play.admission.set_cold_time(float(seconds), play.now)
    when_names(context, rate, load, seconds)


@when("it names none while {load:d} come for {seconds:d} s")
def when_ends(context: Any, load: int, seconds: int) -> None:
    play = context.play
    play.admission.set_rate_limit(None, play.now, play.now)
    play.begin(play.admission.resume(play.now))
    play.come({1: float(load)}, float(seconds))


def in_last(context: Any, seconds: float) -> int:
    play = context.play
    return sum(at > play.now - seconds for at in play.begun.values())


@then("from {grace:d} s after that no {window:d} s bring it more than {most:d} requests")
def then_most(context: Any, grace: int, window: int, most: int) -> None:
    check_windows(context, sorted(context.play.begun.values()), grace, window, most)


@then("counted from then on no {window:d} s bring it more than {most:d} requests")
def then_most_since(context: Any, window: int, most: int) -> None:
    times = sorted(at for at in context.play.begun.values() if at > context.named_at)
    check_windows(context, times, 0, window, most)


def check_windows(context: Any, times: list[float], grace: int, window: int, most: int) -> None:
    binding = context.named_at + grace
    ends = [binding, *(at for at in times if at >= binding)]
    worst = max(sum(end - window < at <= end for at in times) for end in ends)
    assert worst <= most, worst


@then("it is given at least {least:d} of them in the last {seconds:d} s")
def then_least(context: Any, least: int, seconds: int) -> None:
    assert in_last(context, seconds) >= least, in_last(context, seconds)


@then("in the last {seconds:d} s it is given at most {most:d} of them")
def then_at_most(context: Any, seconds: int, most: int) -> None:
    assert in_last(context, seconds) <= most, in_last(context, seconds)


@then("it is given at most {most:d} of them")
def then_given(context: Any, most: int) -> None:
    assert len(context.play.begun) - context.before <= most, len(context.play.begun)


def offer(context: Any, attempt: int, goal_s: float) -> Decision:
    play = context.play
    due = play.now + DUE_S
    profile = CallProfile(False, True, due, attempt=attempt, goal=play.now + goal_s)
    return play.admission.offer(10**9 + attempt, profile, play.now)


@then(
    "a first try with a goal in {ms:d} ms is refused as {reason}, "
    "to come back in {least:d} to {most:d} ms"
)
def then_refused(context: Any, ms: int, reason: str, least: int, most: int) -> None:
    decision = offer(context, 1, ms / 1000)
    assert decision.reason == reason and least <= decision.retry_after_ms <= most, decision


@then("a first try without a goal is refused as {reason}, to come back in {least:d} to {most:d} ms")
def then_refused_without(context: Any, reason: str, least: int, most: int) -> None:
    decision = offer(context, 1, math.inf)
    assert decision.reason == reason and least <= decision.retry_after_ms <= most, decision


@then("a second try due in {ms:d} ms waits")
def then_waits(context: Any, ms: int) -> None:
    play = context.play
    # Nothing else waits any more.
    play.come({}, 2.0)
    play.offer(1)
    play.offer(1)
    decision = offer(context, 2, ms / 1000)
    assert decision.verdict is Verdict.QUEUE, decision


@then("it is told of with room for {limit:d} at once")
def then_room(context: Any, limit: int) -> None:
    assert context.play.admission.report(context.play.now).limit == limit
