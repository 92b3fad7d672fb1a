"""Progress output of the replay."""

import sys
import time

import attrs


@attrs.define(slots=True)
class Progress:
    """Counts runs and prints the current one; on a terminal in one line."""

    total: int
    started_runs: int = 0
    started_at: float = attrs.field(factory=time.monotonic)

    def begin(self, trace: str, policy: str) -> None:
        """Print which run starts."""
        elapsed = time.monotonic() - self.started_at
        line = (
            f"[{self.started_runs + 1}/{self.total}] {trace} under {policy}, {elapsed:.0f} s so far"
        )
        end = "\r" if sys.stderr.isatty() else "\n"
        print(line.ljust(78), end=end, file=sys.stderr, flush=True)
        self.started_runs += 1
