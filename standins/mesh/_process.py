"""Child processes of a mesh."""

import asyncio
import os
import signal
import sys
from collections.abc import Sequence
from pathlib import Path

import attrs

PROJECT_ROOT = Path(__file__).resolve().parents[2]
STOP_TIMEOUT_S = 5.0


@attrs.define(slots=True, eq=False)
class ManagedProcess:
    """A Python module run as a process, with its output in one file."""

    name: str
    process: asyncio.subprocess.Process
    output: Path

    @property
    def running(self) -> bool:
        return self.process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has exited."""
        if self.running:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process with SIGKILL, as a power cut would."""
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def stop(self) -> int:
        """Send SIGTERM, wait, and return the exit status; kill the process after a timeout."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                return await self.process.wait()
        except TimeoutError:
            await self.kill()
            return -signal.SIGKILL

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume a suspended process."""
        self.signal(signal.SIGCONT)

    def text(self) -> str:
        """Return the output so far."""
        return self.output.read_text(errors="replace")


async def start_process(name: str, arguments: Sequence[str], folder: Path) -> ManagedProcess:
    """Start ``python -m`` with ``arguments``, with its output in a file in ``folder``."""
    output = folder / f"{name}.log"
    with output.open("ab") as log_file:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *arguments,
            cwd=PROJECT_ROOT,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log_file,
            stderr=log_file,
            env={**os.environ, "PYTHONPATH": f"{PROJECT_ROOT / 'src'}:{PROJECT_ROOT}"},
        )
    return ManagedProcess(name, process, output)
