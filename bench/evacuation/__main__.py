"""Prints how soon a fleet knows of an evacuation, and the messages needed."""

import argparse
import logging

import structlog

from bench.evacuation import SpreadPlan, measure_spread
from bench.quarantine.__main__ import quantile

SIZES = (12, 76, 195)
NOTIFIED_WATCHERS = (6, 1)


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m bench.evacuation", description=__doc__)
    parser.add_argument("--seeds", type=int, default=50)
    seeds = parser.parse_args().seeds
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    print(
        "nodes  loss  watchers that hear   known to all: p50 ms  p99 ms  most ms   "
        "most there ms   datagrams    bytes"
    )
    for size in SIZES:
        for loss in (0.0, 0.03):
            for notified_watchers in NOTIFIED_WATCHERS:
                plans = [SpreadPlan(size, loss, notified_watchers, seed) for seed in range(seeds)]
                results = [measure_spread(plan) for plan in plans]
                times = [each.seconds * 1000 for each in results]
                affected = max(each.affected_seconds for each in results) * 1000
                print(
                    f"{size:5}  {loss:.2f}  {notified_watchers:18}  {quantile(times, 0.5):21.0f}  "
                    f"{quantile(times, 0.99):6.0f}  {max(times):7.0f}   {affected:13.0f}  "
                    f"{results[0].datagrams:10}  {results[0].bytes:7}"
                )


if __name__ == "__main__":
    main()
