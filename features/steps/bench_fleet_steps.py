"""Steps for the extrapolation from measured fleets to a large one."""

import itertools
import math
from typing import Any

import attrs
from behave import given, then, when

from bench.fleet._measurement import Measurement
from bench.fleet._report import extrapolate
from bench.fleet._store_calls import KINDS, SAMPLE_S, Sample, peak_per_s


def parse_integers(text: str) -> list[int]:
    return [int(each) for each in text.replace(" and ", ", ").split(", ")]


def make_measurement(nodes: int, cost: float) -> Measurement:
    names = [field.name for field in attrs.fields(Measurement)]
    return Measurement(**{**dict.fromkeys(names, cost), "nodes": nodes})


@given("fleets of {sizes} nodes that cost {fixed:g} and {each:g} for each node")
def given_costs(context: Any, sizes: str, fixed: float, each: float) -> None:
    context.fleets = [make_measurement(size, fixed + each * size) for size in parse_integers(sizes)]


@given("their times are {first:g} s and {doubling:g} s for each doubling")
def given_times(context: Any, first: float, doubling: float) -> None:
    context.fleets = [
        attrs.evolve(fleet, drain_max_s=first + doubling * math.log2(fleet.nodes))
        for fleet in context.fleets
    ]


@given("the fleet of {nodes:d} nodes costs {more:g} more")
def given_outlier(context: Any, nodes: int, more: float) -> None:
    context.fleets = [
        attrs.evolve(fleet, cpu_percent=fleet.cpu_percent + more) if fleet.nodes == nodes else fleet
        for fleet in context.fleets
    ]


@when("their costs are extrapolated to {target:d} nodes")
def when_extrapolated(context: Any, target: int) -> None:
    context.lines = extrapolate(context.fleets, target)


@then("the cost is {cost:g} with no residual")
def then_cost(context: Any, cost: float) -> None:
    extrapolation = context.lines["cpu_percent"]
    assert math.isclose(extrapolation.at_target, cost), extrapolation
    assert extrapolation.line.residual < 1e-9, extrapolation


@then("the time is {seconds:g} s")
def then_time(context: Any, seconds: float) -> None:
    assert math.isclose(context.lines["drain_max_s"].at_target, seconds)


@then("the residual is more than {low:g} and at most {high:g}")
def then_residual(context: Any, low: float, high: float) -> None:
    assert low < context.lines["cpu_percent"].line.residual <= high
    assert context.lines["rss_mb"].line.residual < 1e-9


@given("store samples every 0.25 s with {reads} reads between them")
def given_samples(context: Any, reads: str) -> None:
    totals = itertools.accumulate(parse_integers(reads), initial=0)
    context.samples = [
        Sample(number * SAMPLE_S, dict.fromkeys(KINDS, total))
        for number, total in enumerate(totals)
    ]


@then("the peak is {peak:g} reads a second")
def then_peak(context: Any, peak: float) -> None:
    assert math.isclose(peak_per_s(context.samples, "reads"), peak)
