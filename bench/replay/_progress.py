"""One line that tells how far the replay is."""

import sys
import time

import attrs


@attrs.define(slots=True)
class Progress:
    """Counts runs; on a terminal the line replaces itself."""

    total: int
    done: int = 0
    began: float = attrs.field(factory=time.monotonic)

    def begin(self, trace: str, policy: str) -> None:
        """Say which run begins."""
        elapsed = time.monotonic() - self.began
        line = f"[{self.done + 1}/{self.total}] {trace} under {policy}, {elapsed:.0f} s so far"
        end = "\r" if sys.stderr.isatty() else "\n"
        print(line.ljust(78), end=end, file=sys.stderr, flush=True)
        self.done += 1
