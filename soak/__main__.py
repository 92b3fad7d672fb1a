"""Plays seeded faults against real processes and prints which promises were broken."""

import argparse
import asyncio
import os
import signal
import sys
import tempfile
from pathlib import Path

from soak import draw_plan, run_soak
from soak._fleet import PROJECT_ROOT

INTERRUPTED = 2


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--without", nargs="*", default=[], help="kinds of faults to leave out")
    parser.add_argument("--added", nargs="*", default=[], help="kinds that all servers have")
    parser.add_argument("--source", type=Path, default=PROJECT_ROOT, help="checkout of the nodes")
    parser.add_argument("--logs", type=Path, help="a folder that keeps the processes' logs")
    options = parser.parse_args()
    # The processes of a soak are also ended if it is asked to end.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(INTERRUPTED))
    broken = 0
    with tempfile.TemporaryDirectory() as temporary:
        for seed in range(options.first, options.first + options.seeds):
            folder = (options.logs or Path(temporary)) / str(seed)
            folder.mkdir(parents=True)
            plan = draw_plan(
                seed, without=frozenset(options.without), added=frozenset(options.added)
            )
            result = asyncio.run(run_soak(plan, folder, options.source))
            broken += result.is_broken
            print(f"{seed:4} load {os.getloadavg()[0]:4.1f}  {result.line()}", flush=True)
            for violation in result.violations:
                print("\n".join(violation.lines(result.started_at)), flush=True)
            if result.is_broken:
                print("\n".join(f"    {fault.line()}" for fault in plan.faults), flush=True)
    print(f"{broken} of {options.seeds} broken")
    return bool(broken)


if __name__ == "__main__":
    sys.exit(main())
