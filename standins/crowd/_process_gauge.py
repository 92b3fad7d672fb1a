"""What a process takes of its machine: memory, bytes that it has not read, and descriptors."""

import os
from pathlib import Path

import attrs

LISTEN_STATE = "0A"
KB = 1024


@attrs.frozen(slots=True)
class ProcessGauge:
    """Bytes of memory, bytes received and not yet read, and the number of open descriptors.

    ``peak_bytes`` is the most memory that the process has had since its start.
    """

    memory_bytes: int
    peak_bytes: int
    unread_bytes: int
    descriptors: int


def read_process_gauge(pid: int) -> ProcessGauge:
    """Read the gauge of a process that runs; raises ``OSError`` if it has ended."""
    status = {
        name: value.strip()
        for name, _, value in (
            line.partition(":") for line in Path(f"/proc/{pid}/status").read_text().splitlines()
        )
    }
    descriptors = os.listdir(f"/proc/{pid}/fd")
    return ProcessGauge(
        memory_bytes=int(status["VmRSS"].split()[0]) * KB,
        peak_bytes=int(status["VmHWM"].split()[0]) * KB,
        unread_bytes=unread_bytes(pid, descriptors),
        descriptors=len(descriptors),
    )


def unread_bytes(pid: int, descriptors: list[str]) -> int:
    """Return the bytes in the receive queues of the process's TCP sockets."""
    inodes = set()
    for name in descriptors:
        try:
            target = os.readlink(f"/proc/{pid}/fd/{name}")
        except OSError:
            continue
        if target.startswith("socket:["):
            inodes.add(target[len("socket:[") : -1])
    total = 0
    for line in Path(f"/proc/{pid}/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[3] != LISTEN_STATE and fields[9] in inodes:
            total += int(fields[4].partition(":")[2], 16)
    return total
