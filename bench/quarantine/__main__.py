"""Prints how soon a fleet holds a guilty request back, and the cost for innocent requests."""

import argparse
import logging
from collections.abc import Iterable, Sequence

import attrs
import structlog

from bench.quarantine import QuarantinePlan, QuarantineTally, measure_spread, simulate_quarantine

SIZES = (12, 69, 195)
PLANS = {
    "guilty request": QuarantinePlan(guilty_per_s=5.0),
    "guilty from the first moment": QuarantinePlan(guilty_per_s=5.0, guilty_from_s=0.0),
    "guilty, many at once": QuarantinePlan(guilty_per_s=30.0),
    "guilty and losses": QuarantinePlan(guilty_per_s=5.0, crash_every_s=7.0, crash_share=0.3),
    "losses of a tenth, 60 servers": QuarantinePlan(servers=60, per_s=1500.0, crash_every_s=5.0),
    "losses of half, 12 servers": QuarantinePlan(
        servers=12, per_s=200.0, crash_every_s=8.0, crash_share=0.5
    ),
    "losses of all, 12 servers": QuarantinePlan(
        servers=12, per_s=200.0, crash_every_s=12.0, crash_share=1.0
    ),
    "two pages only, losses of half": QuarantinePlan(
        servers=12, per_s=200.0, common_share=1.0, pages=2, crash_every_s=8.0, crash_share=0.5
    ),
    "quiet": QuarantinePlan(),
}


def quantile(values: Iterable[float], share: float) -> float:
    """Return a quantile of ``values``, without interpolation."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def print_spread(sizes: Sequence[int], seeds: int) -> None:
    print("nodes  loss  all know after: p50 ms  p99 ms  most ms   datagrams an end  bytes an end")
    for size in sizes:
        for loss in (0.0, 0.03):
            results = [measure_spread(size, seed, loss) for seed in range(seeds)]
            times = [each.seconds * 1000 for each in results]
            middle, late = quantile(times, 0.5), quantile(times, 0.99)
            print(
                f"{size:5}  {loss:.2f}  {middle:22.0f}  {late:6.0f}  {max(times):7.0f}  "
                f"{results[0].datagrams_per_crash:17.0f}  {results[0].bytes_per_crash:12.0f}"
            )


def add_up(tallies: Sequence[QuarantineTally]) -> QuarantineTally:
    """Return the sum of several tallies."""
    rows = [attrs.astuple(each) for each in tallies]
    return QuarantineTally(*(sum(column) for column in zip(*rows, strict=True)))


def print_plays(seeds: int) -> None:
    print("                                 of the innocent requests")
    print(
        "plan                             after  asked    served   failed   held  pages held   ends"
    )
    for name, plan in PLANS.items():
        for after in (0, 2, 3):
            plans = [attrs.evolve(plan, quarantine_after=after, seed=seed) for seed in range(seeds)]
            tally = add_up([simulate_quarantine(each) for each in plans])
            print(
                f"{name:32} {after:5}  {tally.asked:6}  {tally.served / tally.asked:7.4f}  "
                f"{tally.failed:7}  {tally.held:5}  {tally.common_held:10}  "
                f"{tally.guilty_crashes} of {tally.crashes}"
            )


if __name__ == "__main__":
    parser = argparse.ArgumentParser(prog="python -m bench.quarantine", description=__doc__)
    parser.add_argument("--seeds", type=int, default=20)
    options = parser.parse_args()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    print_spread(SIZES, options.seeds)
    print_plays(max(1, options.seeds // 5))
