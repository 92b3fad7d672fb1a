"""A process that the replay starts, measures and ends."""

import asyncio
import json
import os
import signal
import sys
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent.parent
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
START_TIMEOUT_S = 20
STOP_TIMEOUT_S = 15
POLL_S = 0.02


class Process:
    """A Python module run as a process of its own; what it prints goes to a file.

    A pipe in place of the file would fill up and hold up a process whose log nobody reads.
    """

    def __init__(self, name: str, arguments: list[str], log: Path) -> None:
        self.name = name
        self.arguments = arguments
        self.log = log
        self.process: asyncio.subprocess.Process | None = None
        self.cpu_at_end_s = 0.0

    async def start(self) -> None:
        """Start it."""
        with self.log.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *self.arguments,
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )

    async def announced(self) -> dict[str, Any]:
        """Return the first JSON line that it prints; raises ``RuntimeError`` where it ends."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while b"\n" not in (printed := self.log.read_bytes()):
                if not self.running:
                    raise RuntimeError(f"{self.name} ended at start: {printed.decode()[-2000:]}")
                await asyncio.sleep(POLL_S)
        return json.loads(printed.splitlines()[0])

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    def cpu_s(self) -> float:
        """Return the processor time it has used, in seconds."""
        if not self.running or self.process is None:
            return self.cpu_at_end_s
        try:
            text = Path(f"/proc/{self.process.pid}/stat").read_text()
        except OSError:
            return self.cpu_at_end_s
        user, system = text.rpartition(")")[2].split()[11:13]
        return (int(user) + int(system)) / TICKS_PER_S

    async def end(self, number: int = signal.SIGTERM) -> None:
        """End it and wait; kills it where it does not end within ``STOP_TIMEOUT_S``."""
        if self.process is None or not self.running:
            return
        self.cpu_at_end_s = self.cpu_s()
        self.process.send_signal(number)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
