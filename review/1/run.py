"""A backend rejects some requests as not run, and some of its answers arrive a second time, late.

Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run.
"""

import asyncio
import os
import random
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from fleet import CannotRun, Fleet, configuration, route  # noqa: E402

HOST = "hulo84.example"
ROUTES = [{"prefix": "/", "work_ms": 60}]
SHED = 0.06  # of the requests are rejected (srv_grey, shed; at most 0.4)
EXTRA = 0.03  # of the answers arrive twice (garble, extra late; at most 0.03)
# Each spell of the faults lasts 5 s, as in the site files (for_s); they come more than once.
SPELL_S, PAUSE_S = 5.0, 2.0
LOAD_S = 84
PER_S = 200
DEADLINE_MS = 3_000
CLIENTS = {1: 4, 2: 1, 3: 1}  # parts of the requests by machine; the backend is on the first
# Statuses that promise that the request has not run and never will.
PROMISES = (408, 421, 429, 503)


async def play(fleet: Fleet, trouble: bool) -> int:
    routes = [
        route("r-1", HOST, "/reg/", "non_idempotent", "asema", 3_000),
        route("r-3", HOST, "/pay/", "non_idempotent", "asema", 3_000, attempts=3),
        route("r-2", HOST, "/map/", "idempotent", "kartta", 2_500),
    ]
    fleet.start_store(configuration(1, routes))
    for number, name in ((1, "asema"), (2, "kartta"), (3, "kartta")):
        fleet.start_node(number, name, "fi-south-a")
    faults = {
        "shed": SHED,
        "extra": EXTRA,
        "spell_s": SPELL_S,
        "pause_s": PAUSE_S,
        "seed": random.randrange(1 << 30),
    }
    backend = fleet.start_backend(1, "i-one", ROUTES, **(faults if trouble else {}))
    fleet.start_backend(2, "i-two", ROUTES)
    fleet.start_backend(3, "i-three", ROUTES)
    await fleet.wait_ready([1, 2, 3])
    await asyncio.sleep(2)
    if trouble:
        fleet.record(f"platform the backend of asema has these faults from now on: {faults}")
        backend.send_signal(signal.SIGUSR1)

    async def client(number: int) -> dict:
        await asyncio.sleep(random.uniform(0, LOAD_S))
        node = random.choices(list(CLIENTS), list(CLIENTS.values()))[0]
        path = f"/{random.choice(('reg', 'pay'))}/{number}"
        return await fleet.send(node, "POST", HOST, path, DEADLINE_MS, b"x" * 400, True)

    answers = await asyncio.gather(*(client(number) for number in range(LOAD_S * PER_S)))
    await asyncio.sleep(0.5)
    return judge(fleet, answers)


def judge(fleet: Fleet, answers: list[dict]) -> int:
    """Check REFUSED: answered with a promise and run. Check TWICE as well."""
    events: dict[str, list[dict]] = {}
    for line in fleet.backend_log():
        if "attempt" in line and line["event"] in ("run", "shed", "second answer", "answered"):
            line.pop("headers", None)
            events.setdefault(line["attempt"], []).append(line)
    ran = refused = twice = served = 0
    for answer in answers:
        seen = events.get(answer["attempt"], [])
        runs = sum(each["event"] == "run" for each in seen)
        ran += runs > 0
        served += answer["status"] == 200
        is_broken = answer["status"] in PROMISES and runs > 0
        refused += is_broken
        twice += runs > 1
        if is_broken or runs > 1:
            rule = "REFUSED " if is_broken else "TWICE   "
            fleet.record(f"{rule} {answer['attempt']}: status {answer['status']}, ran {runs} times")
            for each in seen:
                fleet.record(f"         backend: {each}")
    fleet.record(
        f"verdict  {len(answers)} requests, {ran} ran, {served} got 200, "
        f"{refused} were refused and ran, {twice} ran twice"
    )
    if not served:
        raise CannotRun("no request succeeded")
    return 1 if refused or twice else 0


def main() -> int:
    fleet = Fleet(HERE / "record.txt")
    try:
        return asyncio.run(asyncio.wait_for(play(fleet, os.environ.get("TROUBLE") != "0"), 115))
    except Exception as error:
        fleet.record(f"couldn't run: {error!r}")
        return 2
    finally:
        fleet.close()


sys.exit(main())
