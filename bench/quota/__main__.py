"""Prints how well fleets enforce workspace limits, by quota scheme, demand and fault."""

import argparse
import itertools
import logging
from typing import Any

import attrs
import structlog

from bench.quota import QuotaFigures, QuotaPlan, simulate_quota

SIZES = (70, 300)
SCHEMES = ("leases", "one owner", "even shares", "told use")
ENTRY_PATTERNS = ("spread", "one", "moving")
FAULTS = (
    "owner ends",
    "owner starts again",
    "all start again in turn",
    "all start again at once",
    "half end",
    "owner stands still",
    "a third is cut off",
    "limit falls",
)
HEAD = (
    f"{'nodes':>5}  {'way':12} {'hot callers':12} {'fault':24} {'excess':>7} {'limit':>6} "
    f"{'served':>6} {'small':>6} {'msg/s':>6} {'kB/s':>6} {'across':>6}"
)


def plan_of(size: int, **fields: Any) -> QuotaPlan:
    """Return a plan with workspaces and requests in proportion to the nodes."""
    return QuotaPlan(size=size, workspaces=77 * size // 70, per_s=390.0 * size / 70, **fields)


def row(plan: QuotaPlan, results: list[QuotaFigures]) -> str:
    """Return a table row: the worst excess and the means over the seeds of a plan."""
    worst = max(results, key=lambda each: each.excess)

    def mean(name: str) -> float:
        return sum(getattr(each, name) for each in results) / len(results)

    return (
        f"{plan.size:5}  {plan.scheme:12} {plan.entry_pattern:12} {plan.fault or '-':24} "
        f"{worst.excess:7.1f} {worst.limit:6.0f} {mean('served'):6.3f} {mean('small_served'):6.3f} "
        f"{mean('datagrams_per_s'):6.0f} {mean('bytes_per_s') / 1000:6.1f} "
        f"{mean('crossed_bytes_per_s') / 1000:6.1f}"
    )


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m bench.quota", description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    seeds = range(1, parser.parse_args().seeds + 1)
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    print(HEAD)
    plans = [
        plan_of(size, scheme=scheme, entry_pattern=entry_pattern)
        for size, scheme, entry_pattern in itertools.product(SIZES, SCHEMES, ENTRY_PATTERNS)
        # Every node broadcasts to all others, too many messages to simulate at 300 nodes.
        if not (scheme == "told use" and size > SIZES[0])
    ]
    plans += [plan_of(size, fault=fault) for size, fault in itertools.product(SIZES, FAULTS)]
    for plan in plans:
        print(
            row(plan, [simulate_quota(attrs.evolve(plan, seed=seed)) for seed in seeds]), flush=True
        )


if __name__ == "__main__":
    main()
