"""The store gives no answer to a third of the machines for a second; these hold all watches."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "target", "review-2"))

from cluster import Client, Cluster, configuration, route, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "jepu9.example"
ZONES = ("fi-south-a", "fi-south-b", "fi-south-c")
SILENCE_S = 4.0
STABLE_S = 3.0
APPLY_S = 2.0
WATCH_S = 12.0


def config(version, service):
    return configuration(
        version,
        [route("r-1", HOST, "/lepu/", service), route("r-2", HOST, "/keep/", "asema")],
        ["kartta", "asema"],
    )


async def ask_all(cluster, clients):
    """Send one request on the moved route through each machine; return who ran it."""
    seen = await asyncio.gather(*(each.request("GET", "/lepu/2f", HOST) for each in clients))
    return [(each["sent_at"], each.get("headers", {}).get("x-ran-at", ""), each) for each in seen]


async def main():
    layout = [(ZONES[number % 3], "kartta" if number % 2 else "asema") for number in range(18)]
    cluster = Cluster(os.path.join(HERE, "record.txt"), layout)
    log = cluster.log
    try:
        await cluster.start(config(11, "kartta"))
        if not await cluster.wait_ready():
            print("not ready")
            return 2
        await asyncio.sleep(6)
        clients = [Client(machine, log) for machine in cluster.machines]
        before = await ask_all(cluster, clients)
        if sum(who == "kartta" for _, who, _ in before) < len(clients) - 2:
            print("the first configuration is not served")
            return 2
        cluster.store.put("config", "main", config(12, "kartta") | {"BaseVersion": "r11"})
        log(event="config", version="r12")
        await asyncio.sleep(3)
        watching = sorted(name for name, count in cluster.store.watching.items() if count)
        log(event="watching", machines=watching, of=len(cluster.machines))
        print("watching:", len(watching), "of", len(cluster.machines))
        if TROUBLE:
            cluster.store.silent = set(watching)
            log(event="silence begins", machines=watching)
        await asyncio.sleep(0.5)
        cluster.store.put("config", "main", config(13, "asema"))
        acked = log.now()
        log(event="config", version="r13", acknowledged=round(acked, 3))
        await asyncio.sleep(SILENCE_S - 0.5)
        cluster.store.silent = set()
        ended = log.now()
        log(event="silence ends")
        in_touch = ended + STABLE_S + 0.2 if TROUBLE else acked
        binding = max(in_touch, acked + APPLY_S)
        old, new = [], []
        while log.now() < binding + WATCH_S:
            for sent, who, seen in await ask_all(cluster, clients):
                if sent >= binding and seen["status"] == 200:
                    (old if who == "kartta" else new).append((sent, seen["id"]))
            await asyncio.sleep(0.5)
        print(f"sent {binding - acked:.1f} s after the acknowledgement or later:")
        print(f"run by the old service: {len(old)}, by the new one: {len(new)}")
        if old:
            print(f"last run by the old service {old[-1][0] - acked:.1f} s after it")
        if not old and not new:
            return 2
        return 1 if old else 0
    finally:
        await cluster.stop()


if __name__ == "__main__":
    code = run_case(main)
    sys.stdout.flush()
    os._exit(code)  # connections that the store keeps open are not waited for
