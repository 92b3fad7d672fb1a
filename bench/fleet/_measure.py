"""Measures one fleet in a sequence of steps."""

import asyncio
import itertools
import json
import statistics
import tempfile
import time
from pathlib import Path
from typing import Any

import attrs

from bench.control import TARGET
from bench.fleet._fleet import REGION_OF, SERVICES, Fleet
from bench.fleet._measurement import Measurement
from bench.fleet._memory import Memory, read_memory
from bench.fleet._store_calls import KINDS, peak_per_s, total
from standins.mesh import MeshNode, start_process

SETTLING_S = 5.0
IDLE_WINDOW_S = 10.0
REPEATS = 3
REPLACEMENTS = 2
PAUSE_S = 0.5
OUTAGE_S = 5.0
RECOVERY_S = 4.0
AFTER_RESTART_S = 4.0
STORE_READS_PER_S = 2000
STORE_WRITES_PER_S = 400
# Size of an IPv4 header without options and a UDP header.
HEADER_BYTES = 28


@attrs.define(slots=True)
class FleetMeasurement:
    """The steps of measuring a fleet; each returns its figures by name."""

    fleet: Fleet
    idle_cpu: float = 0.0
    idle_gossip: float = 0.0
    idle_calls: float = 0.0

    @property
    def nodes(self) -> list[MeshNode]:
        return self.fleet.nodes

    async def idle(self) -> dict[str, float]:
        """Measure the idle fleet."""
        fleet, size = self.fleet, len(self.nodes)
        calls, gossip = await fleet.calls.read(), await fleet.gossip_totals(self.nodes)
        cpu, began = fleet.cpu_s(self.nodes), time.monotonic()
        await asyncio.sleep(IDLE_WINDOW_S)
        used, took = fleet.cpu_s(self.nodes) - cpu, time.monotonic() - began
        calls_after, gossip_after = await fleet.calls.read(), await fleet.gossip_totals(self.nodes)
        store = {
            kind: (calls_after.counts[kind] - calls.counts[kind]) / (calls_after.at - calls.at)
            for kind in KINDS
        }
        sent = {name: (gossip_after[name] - gossip[name]) / took / size for name in gossip}
        self.idle_cpu = used / took / size
        self.idle_gossip = sent["sent_bytes"] + HEADER_BYTES * sent["sent"]
        self.idle_calls = store["reads"] + store["writes"]
        return {
            "cpu_percent": 100 * self.idle_cpu,
            **attrs.asdict(fleet.memory()),
            "gossip_bytes": self.idle_gossip,
            "gossip_datagrams": sent["sent"],
            "refutations": sent["refutations"],
            "peer_links": fleet.peer_links(),
            **{f"store_{kind}": store[kind] for kind in ("reads", "writes", "watches")},
        }

    async def settings(self) -> dict[str, float]:
        """Change a value several times.

        The cost excludes that of idling and that of the node that handles the change.
        """
        times, nodes = [], self.nodes[1:]
        cpu, began = self.fleet.cpu_s(nodes), time.monotonic()
        for number in range(REPEATS):
            times.append(await self.change_setting(400 + number))
        used = (
            self.fleet.cpu_s(nodes) - cpu - self.idle_cpu * len(nodes) * (time.monotonic() - began)
        )
        return {
            "settings_s": statistics.median(times),
            "settings_max_s": max(times),
            "settings_cpu_ms": 1000 * used / REPEATS / len(nodes),
        }

    async def change_setting(self, value: int) -> float:
        """Change one value through the first node; return the seconds until it is in force."""
        first = self.nodes[0]
        base = (await self.fleet.get_json(first, "settings"))["revision"]
        edit = {"action": "set", "path": f"/services/{SERVICES[0]}", "key": "timeout_ms"}
        body = {"author": "bench", "base": base, "edits": [{**edit, "value": value}]}
        began = time.monotonic()
        url = f"http://{first.operators}/settings/change"
        async with self.fleet.http.post(url, json=body) as response:
            lines = [json.loads(line) async for line in response.content]
        if not lines[-1].get("outcome", {}).get("in_force"):
            raise RuntimeError(f"the change is not in force: {lines[-1]}")
        return time.monotonic() - began

    async def drain(self) -> dict[str, float]:
        """Drain nodes one after another; each is ready again before the next."""
        times = []
        for node in self.nodes[1 : 1 + REPEATS]:
            began = time.monotonic()
            await self.post(node, "drain")
            times.append(await self.fleet.wait_for_state([node], "draining") - began)
            await self.post(node, "undrain")
            await self.fleet.wait_for_state([node], "ready")
        return {"drain_s": statistics.median(times), "drain_max_s": max(times)}

    async def post(self, node: MeshNode, path: str, **arguments: str) -> None:
        url = f"http://{node.operators}/{path}"
        async with self.fleet.http.post(url, params=arguments) as response:
            response.raise_for_status()

    async def evacuate(self) -> dict[str, float]:
        """Evacuate data centres one after another; each is released before the next.

        Store calls are those per evacuation and release, beyond idling.
        """
        times, first = [], self.nodes[0]
        calls = await self.fleet.calls.read()
        for name in itertools.islice(REGION_OF, REPEATS):
            began = time.monotonic()
            await self.post(first, "evacuations/begin", data_centre=name)
            times.append(await self.wait_for_evacuated([name]) - began)
            await self.post(first, "evacuations/release", data_centre=name)
            await self.wait_for_evacuated([])
        after = await self.fleet.calls.read()
        calls_made = sum(after.counts[kind] - calls.counts[kind] for kind in ("reads", "writes"))
        idle = self.idle_calls * (after.at - calls.at)
        return {
            "evacuation_s": statistics.median(times),
            "evacuation_max_s": max(times),
            "evacuation_store_calls": (calls_made - idle) / REPEATS,
        }

    async def wait_for_evacuated(self, names: list[str]) -> float:
        """Wait until all nodes regard exactly these data centres as evacuated; return the time."""

        async def knows(node: MeshNode) -> bool:
            return (await self.fleet.get_json(node, "status"))["evacuated"] == names

        return await self.fleet.wait_until(knows, self.nodes)

    async def replace(self) -> dict[str, float]:
        """Shut some nodes down in order, one by one, and start each again.

        The cost is that of the other nodes beyond idling, per replaced node.
        """
        fleet, replaced, stay = (
            self.fleet,
            self.nodes[1 : 1 + REPLACEMENTS],
            self.nodes[1 + REPLACEMENTS :],
        )
        calls, gossip = await fleet.calls.read(), await fleet.gossip_totals(stay)
        cpu, began = fleet.cpu_s(stay), time.monotonic()
        for node in replaced:
            assert node.process is not None
            await node.process.stop()
            await node.start_node()
            await fleet.wait_until(
                lambda watching, node=node: self.is_ready(watching, node), stay[:1]
            )
        await asyncio.sleep(PAUSE_S)
        took, used = time.monotonic() - began, fleet.cpu_s(stay) - cpu
        calls_after, gossip_after = await fleet.calls.read(), await fleet.gossip_totals(stay)
        sent = {name: gossip_after[name] - gossip[name] for name in gossip}
        sent_bytes = sent["sent_bytes"] + HEADER_BYTES * sent["sent"]
        calls_made = sum(
            calls_after.counts[kind] - calls.counts[kind] for kind in ("reads", "writes")
        )
        each = REPLACEMENTS * len(stay)
        return {
            "replacement_s": took / REPLACEMENTS,
            "replacement_cpu_ms": 1000 * (used - self.idle_cpu * len(stay) * took) / each,
            "replacement_gossip_bytes": (sent_bytes - self.idle_gossip * len(stay) * took) / each,
            "replacement_store_calls": (calls_made - self.idle_calls * took) / REPLACEMENTS,
        }

    async def is_ready(self, watching: MeshNode, node: MeshNode) -> bool:
        return (await self.fleet.member_states(watching)).get(node.operators) == "ready"

    async def outage(self) -> dict[str, float]:
        """Let the store drop all calls for some seconds; measure the calls after its recovery."""
        calls = self.fleet.calls
        await calls.set_mode("drop")
        async with calls.sample_during() as during:
            await asyncio.sleep(OUTAGE_S)
        await calls.set_mode("up")
        async with calls.sample_during() as after:
            await asyncio.sleep(RECOVERY_S)
        return {
            "outage_calls_peak": sum(peak_per_s(during, kind) for kind in ("reads", "watches")),
            "after_outage_reads_peak": peak_per_s(after, "reads"),
            "after_outage_writes_peak": peak_per_s(after, "writes"),
        }

    async def kill_tenth(self) -> dict[str, float]:
        """Kill a tenth of the nodes at once; measure until the others know them as dead."""
        killed = self.nodes[-max(1, len(self.nodes) // 10) :]
        began = time.monotonic()
        await self.fleet.kill_nodes(killed)
        known = await self.fleet.wait_for_state(killed, "")
        return {"tenth_dead_s": known - began}

    async def restart(self) -> dict[str, float]:
        """Kill all nodes and start all of them at once."""
        async with self.fleet.calls.sample_during() as samples:
            took = await self.restart_all()
            await asyncio.sleep(AFTER_RESTART_S)
        listed = await self.fleet.calls.announcements_bytes()
        return {
            "restart_s": took,
            **{f"restart_{kind}": total(samples, kind) for kind in KINDS},
            "restart_reads_peak": peak_per_s(samples, "reads"),
            "restart_writes_peak": peak_per_s(samples, "writes"),
            "announcements_kb": listed / 1000,
        }

    async def scaled_restart(self) -> dict[str, float]:
        """Restart all nodes with store limits scaled down in proportion to the fleet."""
        share = len(self.nodes) / TARGET
        await self.fleet.calls.set_limits(STORE_READS_PER_S * share, STORE_WRITES_PER_S * share)
        async with self.fleet.calls.sample_during() as samples:
            took = await self.restart_all()
        return {"scaled_restart_s": took, "scaled_restart_throttled": total(samples, "throttled")}

    async def restart_all(self) -> float:
        """Restart all nodes; return the time until all of them know each other as ready."""
        await self.fleet.kill_nodes(self.nodes)
        began = time.monotonic()
        await self.fleet.start_nodes(self.nodes)
        return await self.fleet.wait_for_state(self.nodes, "ready") - began


async def measure(size: int) -> Measurement:
    """Measure one fleet in all steps."""
    with tempfile.TemporaryDirectory() as folder:
        began = time.monotonic()
        async with Fleet(Path(folder), size) as fleet:
            ready = await fleet.wait_for_state(fleet.nodes, "ready")
            await asyncio.sleep(SETTLING_S)
            measurement = FleetMeasurement(fleet)
            figures: dict[str, Any] = {"nodes": size, "start_s": ready - began}
            for step in (
                measurement.drain,
                measurement.outage,
                measurement.idle,
                measurement.settings,
                measurement.evacuate,
                measurement.replace,
                measurement.kill_tenth,
                measurement.restart,
                measurement.scaled_restart,
            ):
                figures |= await step()
    return Measurement(**figures)


async def measure_bare(modules: tuple[str, ...]) -> Memory:
    """Return the memory of an idle process that has imported ``modules``."""
    with tempfile.TemporaryDirectory() as folder:
        process = await start_process("bare", ["bench.fleet.bare", *modules], Path(folder))
        try:
            async with asyncio.timeout(20.0):
                while not process.text():
                    await asyncio.sleep(0.1)
            return read_memory(process.process.pid)
        finally:
            await process.kill()
