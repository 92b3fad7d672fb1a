"""Processor time and memory of a process, from procfs."""

import os
from pathlib import Path

import attrs

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@attrs.frozen(slots=True)
class ProcessUsage:
    """Processor time since the process started, in seconds, and current memory, in bytes.

    ``user_s`` is the part of ``cpu_s`` in user mode.
    """

    cpu_s: float
    rss_bytes: int
    user_s: float = 0.0


def read_process_usage(pid: int) -> ProcessUsage:
    """Read ``/proc/<pid>/stat``; processor time comes in ticks of 10 ms."""
    text = Path(f"/proc/{pid}/stat").read_text()
    # The command name is in parentheses and may contain spaces.
    fields = text.rpartition(")")[2].split()
    user, system, pages = int(fields[11]), int(fields[12]), int(fields[21])
    return ProcessUsage((user + system) / TICKS_PER_S, pages * PAGE_BYTES, user / TICKS_PER_S)
