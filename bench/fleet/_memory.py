"""The memory of a process, as reported by the kernel."""

from pathlib import Path

import attrs

KB_PER_MB = 1024


@attrs.frozen(slots=True)
class Memory:
    """Resident, proportional and unique set size in MB."""

    rss_mb: float
    pss_mb: float
    uss_mb: float


def read_memory(pid: int) -> Memory:
    """Read ``/proc/<pid>/smaps_rollup``."""
    lines = Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines()[1:]
    kilobytes = {name: int(rest.split()[0]) for name, _, rest in (x.partition(":") for x in lines)}
    alone = kilobytes["Private_Clean"] + kilobytes["Private_Dirty"]
    held = (kilobytes["Rss"], kilobytes["Pss"], alone)
    return Memory(*(amount / KB_PER_MB for amount in held))
