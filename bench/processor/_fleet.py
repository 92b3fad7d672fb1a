"""Real nodes whose processor time is read."""

from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import tomlkit

from bench.hop import read_process_usage
from bench.limits._fleet import LimitFleet
from bench.processor._spent import Spent

BASE_TREE = Path("deploy/base-tree.toml")
KEY = "key-of-acme"
WORKSPACE = {"Name": "acme", "ApiKeys": [KEY]}
QUOTA = {"RatePerS": 5000.0, "Burst": 5000.0}


class ProcessorFleet(LimitFleet):
    """A fleet with a base tree of its own, and callers with keys where ``workspace`` is set."""

    workspace: dict[str, Any] | None = None

    def set_base(self, **changes: Any) -> None:
        """Change settings of the deployment's base tree, before the nodes start."""
        tree = tomlkit.parse(BASE_TREE.read_text()) | changes
        (self.folder / "base-tree.toml").write_text(tomlkit.dumps(tree))

    async def make_seat(self, number: int, store: str) -> Any:
        seat = await super().make_seat(number, store)
        own = self.folder / "base-tree.toml"
        if own.exists():
            seat.settings["base_tree"] = str(own)
        return seat

    def specification(self) -> dict[str, Any]:
        tenants = [] if self.workspace is None else [self.workspace]
        return super().specification() | ({"Tenants": tenants} if tenants else {})

    def change(self) -> None:
        """Write a new version."""
        self.version += 1
        self.configure()

    def spent(self) -> Spent:
        """Return the processor time of all nodes since their start."""
        running = [seat.process.process.pid for seat in self.seats if seat.process is not None]
        uses = [read_process_usage(pid) for pid in running]
        return Spent(
            1000 * sum(use.user_s for use in uses),
            1000 * sum(use.cpu_s - use.user_s for use in uses),
        )

    async def spend(self, count: float, work: Callable[[], Awaitable[None]]) -> Spent:
        """Return the processor time of all nodes during ``work``, for one of ``count``."""
        before = self.spent()
        await work()
        return (self.spent() - before) / count
