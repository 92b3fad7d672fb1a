"""Prints the outcomes of requests to a fleet whose nodes are all suspended at the same time."""

import argparse
import asyncio
import os
import tempfile
from pathlib import Path

from bench.stops import StopPlan, run_stop_test

STORES = {
    "up": {},
    "slow": {"slow_ms": 300},
    "away": {"mode": "drop"},
    "hangs": {"mode": "hang"},
}
STOPS_S = (0.6, 1.0, 3.0)


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m bench.stops", description=__doc__)
    parser.add_argument("--plays", type=int, default=2)
    parser.add_argument("--logs", type=Path, help="a folder that keeps the processes' logs")
    options = parser.parse_args()
    print("store  stop s  seed  load  completed       last refusal  refused")
    with tempfile.TemporaryDirectory() as temporary:
        for store, faults in STORES.items():
            for stop_s in STOPS_S:
                for seed in range(1, options.plays + 1):
                    folder = (options.logs or Path(temporary)) / f"{store}-{stop_s}-{seed}"
                    folder.mkdir(parents=True)
                    plan = StopPlan(stop_s=stop_s, store=faults, seed=seed)
                    result = asyncio.run(run_stop_test(plan, folder))
                    print(
                        f"{store:6} {stop_s:6}  {seed:4}  {os.getloadavg()[0]:4.1f}  "
                        f"{result.completed:4} of {result.asked:4}  {result.recovery_s:10.2f} s  "
                        f"{dict(result.refused)}",
                        flush=True,
                    )


if __name__ == "__main__":
    main()
