"""A fleet of real nodes whose CPU time is measured."""

from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import tomlkit

from bench.hop import read_use
from bench.limits._fleet import LimitFleet
from bench.processor._spent import CpuTime

BASE_TREE = Path("deploy/base-tree.toml")
KEY = "key-of-acme"
WORKSPACE = {"Name": "acme", "ApiKeys": [KEY]}
QUOTA = {"RatePerS": 5000.0, "Burst": 5000.0}


class ProcessorFleet(LimitFleet):
    """A fleet with its own base tree, and a workspace with a key if ``workspace`` is set."""

    workspace: dict[str, Any] | None = None

    def set_base(self, **changes: Any) -> None:
        """Write a changed copy of the base tree; call before the nodes start."""
        tree = tomlkit.parse(BASE_TREE.read_text()) | changes
        (self.folder / "base-tree.toml").write_text(tomlkit.dumps(tree))

    async def make_host(self, number: int, store: str) -> Any:
        host = await super().make_host(number, store)
        own = self.folder / "base-tree.toml"
        if own.exists():
            host.settings["base_tree"] = str(own)
        return host

    def specification(self) -> dict[str, Any]:
        tenants = [] if self.workspace is None else [self.workspace]
        return super().specification() | ({"Tenants": tenants} if tenants else {})

    def change(self) -> None:
        """Write a new version of the configuration."""
        self.version += 1
        self.configure()

    def cpu_time(self) -> CpuTime:
        """Return the CPU time of all nodes since their start."""
        running = [host.process.process.pid for host in self.hosts if host.process is not None]
        uses = [read_use(pid) for pid in running]
        return CpuTime(
            1000 * sum(use.user_s for use in uses),
            1000 * sum(use.cpu_s - use.user_s for use in uses),
        )

    async def measure_cpu_time(self, count: float, work: Callable[[], Awaitable[None]]) -> CpuTime:
        """Return the CPU time of all nodes during ``work``, divided by ``count``."""
        before = self.cpu_time()
        await work()
        return (self.cpu_time() - before) / count
