"""A backend crashes while answers without a length are under way, and comes back on its address.

Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run.
"""

import asyncio
import hashlib
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from fleet import APP_PORT, DIRECT_PORT, CannotRun, Fleet, configuration, route  # noqa: E402

HISTORY, REGISTER = "jepu9.example", "hulo84.example"
# Half of the body is sent when the work is done, the rest as it is read from the archive.
ROUTES = [
    {"prefix": "/hist/", "work_ms": 300, "size": 6000, "pieces": 2, "pause_ms": 1500, "framed": False},
    {"prefix": "/reg/", "work_ms": 300, "size": 3000, "pieces": 2, "pause_ms": 1200, "framed": False},
]  # fmt: skip
CRASH_AFTER_S = 0.8
DOWN_S = 1.0


async def play(fleet: Fleet, trouble: bool) -> int:
    routes = [
        route("r-1", HISTORY, "/hist/", "idempotent", "arkisto", 5_000),
        route("r-2", REGISTER, "/reg/", "non_idempotent", "arkisto", 3_000),
        route("r-3", HISTORY, "/other/", "idempotent", "kartta", 2_500),
    ]
    fleet.start_store(configuration(1, routes))
    for number, name in ((1, "arkisto"), (2, "kartta"), (3, "kartta")):
        fleet.start_node(number, name, "fi-south-a")
    direct = f"{fleet.ip(1)}:{DIRECT_PORT}"
    proxy = fleet.python("proxy", "proxy.py", f"{fleet.ip(1)}:{APP_PORT}", direct)
    first = fleet.start_backend(1, "i-first", ROUTES, port=DIRECT_PORT)
    fleet.start_backend(2, "i-two", ROUTES)
    fleet.start_backend(3, "i-three", ROUTES)
    await fleet.wait_ready([1, 2, 3])
    await asyncio.sleep(2)

    calls = [
        asyncio.create_task(call)
        for number in (1, 2)
        for each in range(3)
        for call in (
            fleet.send(number, "GET", HISTORY, f"/hist/{number}{each}", 10_000),
            fleet.send(number, "POST", REGISTER, f"/reg/{number}{each}", 3_000, b"x" * 400),
        )
    ]
    if trouble:
        await asyncio.sleep(CRASH_AFTER_S)
        fleet.record("platform the backend i-first crashes; its open connections are silent")
        fleet.command(proxy, "silence")
        first.kill()
        first.wait()
        await asyncio.sleep(DOWN_S)
        fleet.command(proxy, f"target {fleet.ip(1)}:{DIRECT_PORT + 1}")
        fleet.record("platform a new incarnation, i-second, starts on the address")
        fleet.start_backend(1, "i-second", ROUTES, port=DIRECT_PORT + 1)
    answers = await asyncio.gather(*calls)
    for line in fleet.backend_log():
        if line["event"] != "beat":
            line.pop("headers", None)
            fleet.record(f"backend  {line}")
    return judge(fleet, answers)


def judge(fleet: Fleet, answers: list[dict]) -> int:
    """Check MIXED: a success with a body that isn't the backend's whole body."""
    broken = successes = 0
    for answer in answers:
        if not 200 <= answer["status"] < 300 or answer["ended"] != "complete":
            continue
        successes += 1
        seal = answer["headers"].get("x-response-seal", "")
        body = answer["body"]
        if seal != f"{len(body)}.{hashlib.sha256(body).hexdigest()[:16]}":
            broken += 1
            fleet.record(
                f"MIXED    {answer['attempt']}: status {answer['status']} and an answer that looks "
                f"complete with {len(body)} bytes; the backend's body has {seal.split('.')[0]}"
            )
    fleet.record(f"verdict  {len(answers)} requests, {successes} complete successes, {broken} cut")
    if not successes and not broken:
        raise CannotRun("no request succeeded")
    return 1 if broken else 0


def main() -> int:
    fleet = Fleet(HERE / "record.txt")
    try:
        return asyncio.run(asyncio.wait_for(play(fleet, os.environ.get("TROUBLE") != "0"), 100))
    except Exception as error:
        fleet.record(f"couldn't run: {error!r}")
        return 2
    finally:
        fleet.close()


sys.exit(main())
