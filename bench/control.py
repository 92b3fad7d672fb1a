"""Measures the cost of membership per node, and extrapolates it to the target fleet size.

Fleets of 10, 50, 100 and 200 members gossip over real UDP on loopback, at most 25 members in one
process. CPU time and bytes are those of the processes divided by the members; memory is the
growth of the processes per stored member record. Each cost is fitted linearly over the fleet's
size, and its largest residual is printed beside the extrapolation.
"""

import argparse
import asyncio
import json
import math
import os
import statistics
import sys
import time
from pathlib import Path
from typing import Any, Self

import attrs

SIZES = (10, 50, 100, 200)
TARGET = 790
MEMBERS_PER_PROCESS = 25
STATE_CHANGES = 5
SETTINGS_CHANGES = 3
SETTLING_S = 4.0
WINDOW_S = 8.0
RESPONSE_TIMEOUT_S = 60.0
CHANGES_A_DAY = 910
DAY_S = 86400
OUT = Path(__file__).resolve().parent.parent / "out" / "control.json"


@attrs.frozen(slots=True)
class Measurement:
    """The figures of one fleet; rates are per member."""

    members: int
    join_s: float
    cpu_percent: float
    sent_bytes_per_s: float
    sent_datagrams_per_s: float
    state_change_s: float
    state_change_max_s: float
    settings_heard_s: float
    settings_change_s: float
    settings_change_max_s: float
    settings_change_cpu_ms: float
    settings_change_bytes: float
    memory_per_record_kb: float
    refutations: int
    dropped: int


@attrs.frozen(slots=True)
class Line:
    """A fitted line and its largest residual."""

    slope: float
    intercept: float
    residual: float

    def at(self, size: float) -> float:
        return self.intercept + self.slope * size


def fit(sizes: list[float], values: list[float]) -> Line:
    """Fit a line by least squares."""
    slope, intercept = statistics.linear_regression(sizes, values)
    residuals = [
        abs(value - intercept - slope * size) for size, value in zip(sizes, values, strict=True)
    ]
    return Line(slope, intercept, max(residuals))


class FleetProcess:
    """A child process that runs some of the members."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process

    async def send_command(self, do: str, **values: Any) -> dict[str, Any]:
        """Send one command and return its response."""
        assert self.process.stdin is not None and self.process.stdout is not None
        self.process.stdin.write(json.dumps({"do": do, **values}).encode() + b"\n")
        line = await asyncio.wait_for(self.process.stdout.readline(), RESPONSE_TIMEOUT_S)
        if not line:
            raise RuntimeError(f"the member process exited during {do!r}")
        response: dict[str, Any] = json.loads(line)
        return response


class Fleet:
    """All processes of one measured fleet."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.parts: list[FleetProcess] = []

    async def __aenter__(self) -> Self:
        # Addresses differ between runs, so that concurrent runs on a machine don't interfere.
        network = 64 + os.getpid() % 128
        for first in range(0, self.size, MEMBERS_PER_PROCESS):
            count = min(MEMBERS_PER_PROCESS, self.size - first)
            process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "bench.control_fleet"),
                *(str(first), str(count), str(network)),
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
            )
            self.parts.append(FleetProcess(process))
        return self

    async def __aexit__(self, *_: object) -> None:
        for part in self.parts:
            if part.process.returncode is None:
                part.process.terminate()
        await asyncio.gather(*(part.process.wait() for part in self.parts))

    async def send_to_all(self, do: str, **values: Any) -> list[dict[str, Any]]:
        return list(await asyncio.gather(*(part.send_command(do, **values) for part in self.parts)))

    async def latest(self, do: str, field: str = "at", **values: Any) -> float:
        return max(response[field] for response in await self.send_to_all(do, **values))

    async def usage_totals(self) -> dict[str, float]:
        """Return the sums of the usage counters of all processes, and the time."""
        responses = await self.send_to_all("usage")
        sums = {name: sum(each[name] for each in responses) for name in responses[0]}
        return {**sums, "at": time.monotonic()}

    async def join(self) -> float:
        """Start all members; return the time from the last start until all know each other."""
        started = await self.latest("start")
        return max(0.0, await self.latest("agreed", count=self.size) - started)

    async def state_change(self, index: int) -> float:
        """Drain one member; return the time until all others know it."""
        drained = await self.parts[index % len(self.parts)].send_command("drain", index=index + 1)
        return await self.latest("saw_drain", node=drained["node"]) - float(drained["at"])

    async def settings_change(self, revision: int) -> tuple[float, float]:
        """Announce a revision; return the times until all have it and until all know that."""
        announced = await self.parts[0].send_command("set_settings", revision=revision)
        seen = await self.send_to_all("saw_settings", revision=revision)
        heard = max(response["heard_at"] for response in seen)
        known = max(response["at"] for response in seen)
        return heard - announced["at"], known - announced["at"]


async def measure(size: int) -> Measurement:
    """Run one fleet and return its figures."""
    async with Fleet(size) as fleet:
        memory_before = sum(
            response["resident_kb"] for response in await fleet.send_to_all("memory")
        )
        join_s = await fleet.join()
        await asyncio.sleep(SETTLING_S)
        memory_after = sum(
            response["resident_kb"] for response in await fleet.send_to_all("memory")
        )
        before = await fleet.usage_totals()
        await asyncio.sleep(WINDOW_S)
        after = await fleet.usage_totals()
        steady = {
            name: (after[name] - before[name]) / (after["at"] - before["at"]) for name in after
        }
        states = [await fleet.state_change(index) for index in range(STATE_CHANGES)]
        await asyncio.sleep(1.0)
        before = await fleet.usage_totals()
        changes = [await fleet.settings_change(number + 1) for number in range(SETTINGS_CHANGES)]
        await asyncio.sleep(1.0)
        after = await fleet.usage_totals()
        elapsed = after["at"] - before["at"]
        extra = {
            name: (after[name] - before[name] - steady[name] * elapsed) / SETTINGS_CHANGES / size
            for name in ("cpu", "sent_bytes")
        }
        await fleet.send_to_all("stop")
    known = [change[1] for change in changes]
    return Measurement(
        members=size,
        join_s=join_s,
        cpu_percent=100 * steady["cpu"] / size,
        sent_bytes_per_s=steady["sent_bytes"] / size,
        sent_datagrams_per_s=steady["datagrams"] / size,
        state_change_s=statistics.median(states),
        state_change_max_s=max(states),
        settings_heard_s=statistics.median(change[0] for change in changes),
        settings_change_s=statistics.median(known),
        settings_change_max_s=max(known),
        settings_change_cpu_ms=1000 * extra["cpu"],
        settings_change_bytes=extra["sent_bytes"],
        memory_per_record_kb=(memory_after - memory_before) / size**2,
        refutations=int(after["refutations"]),
        dropped=int(after["dropped"]),
    )


def extrapolate(measurements: list[Measurement]) -> dict[str, dict[str, float]]:
    """Fit costs over the size of the fleet, and times over its logarithm."""
    sizes = [float(item.members) for item in measurements]
    logarithms = [math.log2(size) for size in sizes]
    memory = [item.memory_per_record_kb * item.members / 1024 for item in measurements]
    linear = {
        "cpu_percent": [item.cpu_percent for item in measurements],
        "sent_bytes_per_s": [item.sent_bytes_per_s for item in measurements],
        "sent_datagrams_per_s": [item.sent_datagrams_per_s for item in measurements],
        "memory_mb": memory,
        "settings_change_cpu_ms": [item.settings_change_cpu_ms for item in measurements],
        "settings_change_bytes": [item.settings_change_bytes for item in measurements],
    }
    times = {
        "state_change_max_s": [item.state_change_max_s for item in measurements],
        "settings_heard_s": [item.settings_heard_s for item in measurements],
        "settings_change_max_s": [item.settings_change_max_s for item in measurements],
    }
    lines = {name: (fit(sizes, values), float(TARGET)) for name, values in linear.items()}
    lines |= {name: (fit(logarithms, values), math.log2(TARGET)) for name, values in times.items()}
    return {
        name: {**attrs.asdict(line), f"at_{TARGET}": line.at(point)}
        for name, (line, point) in lines.items()
    }


def print_table(measurements: list[Measurement], lines: dict[str, dict[str, float]]) -> None:
    fields = [field.name for field in attrs.fields(Measurement)]
    print(f"\n{'':24}" + "".join(f"{item.members:>10}" for item in measurements))
    for field in fields[1:]:
        values = [getattr(item, field) for item in measurements]
        print(f"{field:24}" + "".join(f"{value:>10.3g}" for value in values))
    print(f"\n{'fit':24}{'slope':>12}{'intercept':>12}{'residual':>12}{f'at {TARGET}':>12}")
    for name, line in lines.items():
        print(f"{name:24}" + "".join(f"{value:>12.3g}" for value in line.values()))
    print("(times are fitted over log2 of the size, all else over the size)")
    average = lines["settings_change_bytes"][f"at_{TARGET}"] * CHANGES_A_DAY / DAY_S
    total = lines["sent_bytes_per_s"][f"at_{TARGET}"] + average
    print(f"sent by a node at {TARGET}, {CHANGES_A_DAY} changes a day: {total:.0f} bytes/s")


async def run(sizes: list[int]) -> None:
    measurements = []
    for size in sizes:
        started_at = time.monotonic()
        measurements.append(await measure(size))
        print(f"{size} members measured in {time.monotonic() - started_at:.0f} s", flush=True)
    lines = extrapolate(measurements) if len(measurements) > 1 else {}
    if lines:
        print_table(measurements, lines)
    else:
        print(json.dumps(attrs.asdict(measurements[0]), indent=1))
    OUT.parent.mkdir(exist_ok=True)
    report = {"measured": [attrs.asdict(item) for item in measurements], "fits": lines}
    OUT.write_text(json.dumps(report, indent=1) + "\n", encoding="utf-8")
    print(f"written to {OUT.parent.name}/{OUT.name}")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("sizes", nargs="*", type=int, help="10 50 100 200 by default")
    asyncio.run(run(parser.parse_args().sizes or list(SIZES)))


if __name__ == "__main__":
    main()
