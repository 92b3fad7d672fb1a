"""What a process has used, as the kernel tells it."""

import os
from pathlib import Path

import attrs

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@attrs.frozen(slots=True)
class ProcessUse:
    """Processor time since the start in seconds, and memory in bytes now.

    ``user_s`` is the part of ``cpu_s`` that was spent outside the kernel.
    """

    cpu_s: float
    rss_bytes: int
    user_s: float = 0.0


def read_use(pid: int) -> ProcessUse:
    """Read ``/proc/<pid>/stat``; processor time comes in ticks of 10 ms."""
    text = Path(f"/proc/{pid}/stat").read_text()
    # The name of the program stands in parentheses and may hold spaces.
    fields = text.rpartition(")")[2].split()
    user, system, pages = int(fields[11]), int(fields[12]), int(fields[21])
    return ProcessUse((user + system) / TICKS_PER_S, pages * PAGE_BYTES, user / TICKS_PER_S)
