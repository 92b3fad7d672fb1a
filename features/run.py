"""Runs every behave feature, several in parallel, and prints a summary line.

Each feature file runs in a behave process of its own with its own loopback addresses, so that its
result does not depend on which files run in parallel. Files in ``features/clients`` measure memory
beside crowds of clients: they run one at a time, after all others. Scenarios named in
``KNOWN-RED.txt`` may fail and are printed. Any other scenario that does not pass fails the run.
"""

import argparse
import asyncio
import json
import os
import sys
import tempfile
import time
from pathlib import Path

import attrs

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
ALONE = ROOT / "features" / "clients"
FEATURE_TIMEOUT_S = 300


@attrs.frozen(slots=True)
class ScenarioResult:
    """The result that behave reports for one scenario."""

    feature: str
    name: str
    status: str

    @property
    def label(self) -> str:
        return f"{self.feature}: {self.name}"


def known_red() -> dict[str, str]:
    """Return the scenarios that may fail, each with its entry's reason."""
    if not KNOWN_RED.exists():
        return {}
    lines = [line.split("|", 1) for line in KNOWN_RED.read_text().splitlines() if line.strip()]
    return {line[0].strip(): line[-1].strip() for line in lines}


def read_results(feature: str, report: Path) -> list[ScenarioResult]:
    """Read behave's JSON report; if it is missing or empty, the whole file counts as failed."""
    try:
        features = json.loads(report.read_text() or "[]")
    except (OSError, json.JSONDecodeError):
        features = []
    results = [
        ScenarioResult(feature, element["name"].strip(), element.get("status", "failed"))
        for entry in features
        for element in entry.get("elements", [])
        if element["type"] != "background"
    ]
    return results or [ScenarioResult(feature, "(no report)", "failed")]


async def run_feature(
    path: Path, free_slots: asyncio.Queue[int], folder: Path
) -> list[ScenarioResult]:
    """Run one feature file and return the results of its scenarios."""
    slot = await free_slots.get()
    name = str(path.relative_to(ROOT / "features"))
    report = folder / (name.replace("/", "__") + ".json")
    command = [sys.executable, "-m", "behave", "--no-color", "-f", "json", "-o", str(report)]
    command += ["-f", "plain", "--no-skipped", "--no-timings", str(path)]
    started_at = time.monotonic()
    try:
        process = await asyncio.create_subprocess_exec(
            *command,
            cwd=ROOT,
            env={**os.environ, "MARJORAMTIDE_TEST_SLOT": str(slot)},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        try:
            output, _ = await asyncio.wait_for(process.communicate(), FEATURE_TIMEOUT_S)
        except TimeoutError:
            process.terminate()
            output, _ = await process.communicate()
            output += f"\nterminated after {FEATURE_TIMEOUT_S} s\n".encode()
    finally:
        free_slots.put_nowait(slot)
    results = read_results(name, report)
    not_passed = [result for result in results if result.status != "passed"]
    elapsed_s = time.monotonic() - started_at
    print(
        f"{'FAIL' if not_passed else 'ok  '} {name}: {len(results)} scenarios in {elapsed_s:.0f} s",
        flush=True,
    )
    if not_passed:
        print(output.decode(errors="replace"), flush=True)
    return results


async def run_all(paths: list[Path], jobs: int) -> list[ScenarioResult]:
    """Run all feature files, ``jobs`` at a time, then those that run alone."""
    alone = [path for path in paths if ALONE in path.parents]
    together = [path for path in paths if path not in alone]
    return await run_files(together, jobs) + await run_files(alone, 1)


async def run_files(paths: list[Path], jobs: int) -> list[ScenarioResult]:
    """Run feature files, ``jobs`` at a time."""
    free_slots: asyncio.Queue[int] = asyncio.Queue()
    for number in range(jobs):
        free_slots.put_nowait(number)
    with tempfile.TemporaryDirectory() as folder:
        runs = [run_feature(path, free_slots, Path(folder)) for path in paths]
        return [result for results in await asyncio.gather(*runs) for result in results]


def summarise(results: list[ScenarioResult]) -> int:
    """Print the failed scenarios and the summary line; return the exit status."""
    allowed = known_red()
    passed = [result for result in results if result.status == "passed"]
    skipped = [result for result in results if result.status == "skipped"]
    failed = [result for result in results if result not in passed and result not in skipped]
    known_failures = [result for result in failed if result.label in allowed]
    for result in known_failures:
        print(f"KNOWN-RED {result.label}: {allowed[result.label]}")
    for result in failed:
        if result not in known_failures:
            print(f"FAILED {result.label} ({result.status})")
    tail = f", {len(skipped)} skipped" if skipped else ""
    print(f"{len(passed)} passed, {len(failed)} failed{tail}")
    return 0 if passed and len(failed) == len(known_failures) else 1


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("features", nargs="*", help="feature files; all of them by default")
    parser.add_argument("--jobs", type=int, default=4)
    options = parser.parse_args()
    chosen = [Path(name).resolve() for name in options.features]
    paths = chosen or sorted((ROOT / "features").rglob("*.feature"))
    return summarise(asyncio.run(run_all(paths, options.jobs)))


if __name__ == "__main__":
    sys.exit(main())
