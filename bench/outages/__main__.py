"""Prints how soon fleets learn of changes while the store leaves nodes without answers.

First the calls of fleets at rest. Then one line for each fact, fault and size: the worst time over
the seeds until the last node knew, from the change and from the end of the fault, and the calls to
the store in the worst play.
"""

import argparse
import itertools
import logging
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from functools import partial

import attrs
import structlog

from bench.outages import (
    Fact,
    OutagePlan,
    OutageResult,
    Scope,
    measure_calls,
    measure_outage,
)
from standins.platform import FaultKind, StoreFault

SIZES = (9, 18, 195)
REST_S = 120.0
PARTIAL_CHANGE_S = 0.3
OUTAGE_S = 8.0
# After the end of an outage, in seconds; negative while it lasts.
CHANGES_AROUND_END_S = (-6.0, 0.45, 1.0)


def partial_plans(fact: Fact) -> Iterator[OutagePlan]:
    """Yield plans in which the store serves all but those who read it, or a third of the nodes."""
    for scope in (Scope.THIRD, Scope.READERS):
        plan = partial(OutagePlan, 0, scope, change_at_s=PARTIAL_CHANGE_S, fact=fact)
        for kind, watches_only, for_s, again in itertools.product(
            FaultKind, (False, True), (0.5, 4.0), (False, True)
        ):
            yield plan(StoreFault(kind, watches_only), for_s, again=again)
        yield plan(loses_watches=True)


def outage_plans(fact: Fact) -> Iterator[OutagePlan]:
    """Yield plans in which the store serves nobody for a while."""
    for kind, after_s in itertools.product(FaultKind, CHANGES_AROUND_END_S):
        yield OutagePlan(0, Scope.ALL, StoreFault(kind), OUTAGE_S, OUTAGE_S + after_s, fact)


def describe(plan: OutagePlan) -> str:
    """Return the fault of a plan in words."""
    if plan.fault is None:
        return f"{plan.scope.value:8} watches' connections go silent for good"
    calls = "watches" if plan.fault.watches_only else "all"
    twice = ", then its successors" if plan.again else ""
    return (
        f"{plan.scope.value:8} {plan.fault.kind.value:8} {calls:8} {plan.for_s:g} s, "
        f"change at {plan.change_at_s:g} s{twice}"
    )


def play(plan: OutagePlan) -> OutageResult:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    return measure_outage(plan)


def print_times(sizes: list[int], seeds: int, jobs: int, has_checks: bool) -> None:
    print("nodes  fact           late s  after end s  calls  fault")
    plans = [plan for fact in Fact for plan in (*partial_plans(fact), *outage_plans(fact))]
    with ProcessPoolExecutor(jobs) as executor:
        for size, plan in itertools.product(sizes, plans):
            plan = attrs.evolve(plan, size=size, has_checks=has_checks)
            seeded = [attrs.evolve(plan, seed=seed) for seed in range(seeds)]
            results = list(executor.map(play, seeded))
            worst = max(results, key=lambda result: result.late_s)
            calls = worst.calls.get("reads", 0) + worst.calls.get("watches", 0)
            print(
                f"{size:5}  {plan.fact.value:13} {worst.late_s:7.2f}  {worst.after_end_s:11.2f}  "
                f"{calls:5}  {describe(plan)}",
                flush=True,
            )


def print_rest(sizes: list[int]) -> None:
    print("at rest, a second: nodes  checks  reads  watches  datagrams of checks")
    for size, has_checks in itertools.product(sizes, (False, True)):
        counts = measure_calls(size, REST_S, has_checks=has_checks)
        reads, watches, datagrams = (
            counts.get(kind, 0.0) for kind in ("reads", "watches", "datagrams")
        )
        print(f"{size:24}  {has_checks!s:6}  {reads:5.2f}  {watches:7.2f}  {datagrams:9.1f}")


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m bench.outages", description=__doc__)
    parser.add_argument("sizes", nargs="*", type=int, default=SIZES)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument(
        "--without-checks", action="store_true", help="of fleets that make no checks"
    )
    options = parser.parse_args()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    print_rest(list(options.sizes))
    print_times(list(options.sizes), options.seeds, options.jobs, not options.without_checks)


if __name__ == "__main__":
    main()
