"""Processor time of the replay's child processes."""

import os
from pathlib import Path

from standins.mesh import ManagedProcess

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
USER_AND_SYSTEM = slice(11, 13)  # indices of the fields after the command name, see proc(5)


def processor_time_s(process: ManagedProcess | None) -> float:
    """Return the processor time of a running process, in seconds; 0 if it has exited."""
    if process is None or not process.running:
        return 0.0
    try:
        text = Path(f"/proc/{process.process.pid}/stat").read_text()
    except OSError:
        return 0.0
    ticks = text.rpartition(")")[2].split()[USER_AND_SYSTEM]
    return sum(map(int, ticks)) / TICKS_PER_S
