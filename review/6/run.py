"""The store gives no answer to a third of the machines while a zone is evacuated."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "target", "review-2"))

from cluster import Client, Cluster, configuration, route, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "jepu9.example"
ZONES = ("nadi-hall", "lautoka-hall", "sigatoka-hall")
SERVICES = ("mapdesk", "licencehub")
SILENCE_S = 4.0
STABLE_S = 3.0
EVACUATION_S = 5.0
WATCH_S = 12.0


def config(version):
    return configuration(version, [route("r-1", HOST, "/lepu/", SERVICES[0])], SERVICES)


async def ask_all(clients):
    """Send one request through each machine; return what was seen."""
    return await asyncio.gather(*(each.request("GET", "/lepu/2f", HOST) for each in clients))


async def main():
    layout = [(ZONES[number % 3], SERVICES[number % 2]) for number in range(18)]
    cluster = Cluster(os.path.join(HERE, "record.txt"), layout, {"EvacuationMs": 5000})
    log = cluster.log
    try:
        await cluster.start(config(11))
        if not await cluster.wait_ready():
            return 2
        await asyncio.sleep(6)
        clients = [Client(machine, log) for machine in cluster.machines]
        before = await ask_all(clients)
        if sum(seen["status"] == 200 for seen in before) < len(clients) - 2:
            return 2
        watching = sorted(name for name, count in cluster.store.watching.items() if count)
        log(event="watching", machines=watching, of=len(cluster.machines))
        print("watching:", len(watching), "of", len(cluster.machines))
        if TROUBLE:
            cluster.store.silent = set(watching)
            log(event="silence begins", machines=watching)
        await asyncio.sleep(0.5)
        cluster.store.put("evacuations", ZONES[0], {})
        acked = log.now()
        log(event="evacuation", zone=ZONES[0], acknowledged=round(acked, 3))
        await asyncio.sleep(SILENCE_S - 0.5)
        cluster.store.silent = set()
        ended = log.now()
        log(event="silence ends")
        in_touch = ended + STABLE_S + 0.2 if TROUBLE else acked
        binding = max(in_touch, acked + EVACUATION_S)
        while log.now() < binding + WATCH_S:
            await ask_all(clients)
            await asyncio.sleep(0.5)
        late = [
            at
            for machine in cluster.machines
            if machine.zone == ZONES[0]
            for at in machine.backend.ran_at.values()
            if at >= binding
        ]
        elsewhere = sum(
            at >= binding
            for machine in cluster.machines
            if machine.zone != ZONES[0]
            for at in machine.backend.ran_at.values()
        )
        print(f"later than {binding - acked:.1f} s after the acknowledgement:")
        print(f"run in the evacuated zone: {len(late)}, elsewhere: {elsewhere}")
        if late:
            print(f"last run there {max(late) - acked:.1f} s after it")
        if not late and not elsewhere:
            return 2
        return 1 if late else 0
    finally:
        await cluster.stop()


if __name__ == "__main__":
    code = run_case(main)
    sys.stdout.flush()
    os._exit(code)  # connections that the store keeps open are not waited for
