"""Steps for what other nodes know of a server that has restarted."""

import random
from typing import Any

import attrs
from behave import given, then, when  # type: ignore[attr-defined]

from marjoramtide.exchange import LoadReport, first_sequence
from marjoramtide.membership import Member, MemberState
from marjoramtide.peers import report_fields, unpack_report
from marjoramtide.policy import make_selector
from marjoramtide.policy.placing._node_view import MIN_HALF_LIFE_S
from marjoramtide.settings import RouteSettings

NOW = 100.0
FAILURES = 20
LATENCY_MS = 900.0
# The fields of the previous version's report, which had no incarnation.
PREVIOUS_FIELDS = (
    "in_use",
    "limit",
    "queued_urgent",
    "queued_routine",
    "service_time_ms",
    "success_rate",
    "accepts",
    "uptime_s",
    "sequence",
    "slowdown",
    "holds_ms",
    "period_ms",
    "usual_slowdown",
)
PreviousReport = attrs.make_class("PreviousReport", list(PREVIOUS_FIELDS))


def member(number: int) -> Member:
    places = ("s", "r", "z", f"10.0.0.{number}:1", f"10.0.0.{number}:2", f"10.0.0.{number}:3")
    return Member(f"n{number}", *places, state=MemberState.READY)


def report(sequence: int, **figures: Any) -> LoadReport:
    return LoadReport(in_use=0, limit=8, uptime_s=1.0, sequence=sequence, **figures)


@given("a selector that has seen a node fail {count:d} times and ejected it")
def given_ejected(context: Any, count: int) -> None:
    settings = RouteSettings(service="s", selector="forecast")
    context.selector = make_selector(settings, member(0), random.Random(1))
    context.selector.update_members([member(number) for number in range(4)], NOW)
    failing = report(7, success_rate=0.1, service_time_ms=LATENCY_MS)
    for number in range(count):
        now = NOW + number / 100
        for node in ("n0", "n2", "n3"):
            context.selector.answered(node, None, 10.0, True, now)
        context.selector.answered("n1", failing, LATENCY_MS, False, now)
    context.view = context.selector.views["n1"]
    assert context.view.ejected and context.view.success_rate(NOW + 0.2) < 0.5


@when("a report of the next start of its server comes")
def when_next(context: Any) -> None:
    context.selector.reported("n1", report(first_sequence(1)), NOW + 1)


@when("a report of the former start comes late")
def when_late(context: Any) -> None:
    context.selector.reported("n1", report(8, success_rate=0.1), NOW + 2)


@then("nothing of its failures, times and ejections is held against it")
def then_forgotten(context: Any) -> None:
    view = context.view
    assert not view.ejected and view.ejections == 0
    assert view.success_rate(NOW + 1) == 1.0
    assert view.latency_ms.value == 0.0 and view.half_life_s == MIN_HALF_LIFE_S


@then("the report of the next start is believed")
def then_believed(context: Any) -> None:
    assert context.view.report.incarnation == 1, context.view.report


@given("reports of a server before and after it has started again")
def given_reports(context: Any) -> None:
    context.reports = [report(4_000_000), report(first_sequence(1), slowdown=2.0)]


@then("a node of the version before reads both, and takes the later one for newer")
def then_read_before(context: Any) -> None:
    before, after = (PreviousReport(*report_fields(each)) for each in context.reports)
    assert before.sequence < after.sequence < 1 << 63
    assert (after.limit, after.slowdown) == (8, 2.0)


@then("what a node of the version before reports is of the first start")
def then_first_start(context: Any) -> None:
    fields = attrs.astuple(PreviousReport(1, 8, 0, 0, 5.0, 1.0, True, 9.0, 77, 1.0, -1.0, 0.0, 1.0))
    read = unpack_report(list(fields))
    assert read is not None and (read.incarnation, read.sequence) == (0, 77), read


@then("a report with two more figures at its end is read as it is without them")
def then_read_later(context: Any) -> None:
    _, after = context.reports
    assert unpack_report([*report_fields(after), 3, "more"]) == after
