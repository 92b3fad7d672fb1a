"""A process that was started here and is ended here."""

import asyncio
import os
import signal
import sys
from collections.abc import Sequence
from pathlib import Path

import attrs

ROOT = Path(__file__).resolve().parents[2]
END_TIMEOUT_S = 5.0


@attrs.define(slots=True, eq=False)
class ManagedProcess:
    """A Python module run as a process, its output kept in one file."""

    name: str
    process: asyncio.subprocess.Process
    output: Path

    @property
    def running(self) -> bool:
        return self.process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self.running:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """End the process at once, as a power cut would."""
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def stop(self) -> int:
        """Ask the process to end, wait, and return its exit status."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(END_TIMEOUT_S):
                return await self.process.wait()
        except TimeoutError:
            await self.kill()
            return -signal.SIGKILL

    def freeze(self) -> None:
        """Stop the process where it stands."""
        self.signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a frozen process go on."""
        self.signal(signal.SIGCONT)

    def text(self) -> str:
        """Return all that the process has printed."""
        return self.output.read_text(errors="replace")


async def start_process(name: str, arguments: Sequence[str], folder: Path) -> ManagedProcess:
    """Start ``python -m`` with ``arguments``, printing into a file in ``folder``."""
    output = folder / f"{name}.log"
    with output.open("ab") as sink:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *arguments,
            cwd=ROOT,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=sink,
            stderr=sink,
            env={**os.environ, "PYTHONPATH": f"{ROOT / 'src'}:{ROOT}"},
        )
    return ManagedProcess(name, process, output)
