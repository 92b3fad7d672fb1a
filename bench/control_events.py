"""What membership costs in the hours that matter: restarts, losses, cuts, in virtual time.

The protocol core of every member runs over a network in memory, with a clock of its own, so a
fleet of 790 fits one process; CPU time says nothing here and is not printed. For each event the
tool prints how long it took until every member knew, and how much the busiest member sent in any
one second. ``python -m bench.control_events 790`` takes some minutes.
"""

import argparse
import time
from collections import Counter
from collections.abc import Callable

from marjoramtide.membership import MemberState
from standins.gossip_network import Network, Node

DATA_CENTRES = ("nadi-hall", "lautoka-hall", "sigatoka-hall", "navrangpura", "gift-city")
REGION = ("navrangpura", "gift-city")
LOST = "sigatoka-hall"
SETTLE_S = 20.0
CUT_S = 120.0
LIMIT_S = 90.0
STEP_S = 0.25
HEADER_BYTES = 28


class Watch:
    """Drives the network and keeps the bytes sent by each member in each second."""

    def __init__(self, members: int, seed: int) -> None:
        self.network = Network(seed)
        for number in range(members):
            data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            name = f"instance-{number}~{number:012x}"
            self.network.start_node(name, data_centre=data_centre, service=f"service-{number % 53}")
        self.seconds: Counter[tuple[str, int]] = Counter()

    def running(self) -> list[Node]:
        return [node for node in self.network.nodes.values() if node.running]

    def run(self, seconds: float) -> None:
        end = self.network.clock.now + seconds
        while self.network.clock.now < end:
            self.network.run(STEP_S)
            second = int(self.network.clock.now)
            for sender, _, data in self.network.sent:
                self.seconds[sender, second] += len(data) + HEADER_BYTES
            self.network.sent.clear()
            for node in self.running():
                node.core.view.changes.clear()

    def event(self, name: str, condition: Callable[[], bool]) -> None:
        """Run until ``condition`` and some seconds on, then print the event's line."""
        began, clock = time.monotonic(), self.network.clock
        start, refuted = clock.now, self.refutations()
        self.seconds.clear()
        while not condition() and clock.now - start < LIMIT_S:
            self.run(STEP_S)
        took = clock.now - start
        self.run(SETTLE_S - took % 1)
        peak = max(self.seconds.values()) if self.seconds else 0
        mean = sum(self.seconds.values()) / len(self.running()) / (clock.now - start)
        verdict = f"{took:6.2f} s" if took < LIMIT_S else "not in time"
        print(
            f"{name:34}{verdict:>12}{peak / 1000:10.1f}{mean / 1000:10.2f}"
            f"{self.refutations() - refuted:9}{time.monotonic() - began:8.0f}",
            flush=True,
        )

    def refutations(self) -> int:
        return sum(node.core.counters.refutations for node in self.running())

    def agree(self) -> bool:
        """Tell whether every running member holds exactly the running members."""
        nodes = self.running()
        return all(len(node.core.view.live()) == len(nodes) for node in nodes)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("members", type=int, nargs="?", default=100)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    watch = Watch(options.members, options.seed)
    network = watch.network
    print(f"{options.members} members, seed {options.seed}")
    print(
        f"{'event':34}{'all know':>12}{'peak kB/s':>10}{'mean kB/s':>10}{'refuted':>9}{'ran s':>8}"
    )
    watch.event("all start at once", watch.agree)
    watch.event("nothing happens", lambda: True)
    changed = watch.running()[1]
    changed.core.set_state(MemberState.DRAINING)
    network.flush(changed)
    watch.event("one drains", lambda: _all_see(watch, changed))
    for node in watch.running():
        node.core.set_settings(7, "f" * 32)
        network.flush(node)
    watch.event("all report a settings revision", lambda: _all_report(watch, 7))
    watch.running()[2].running = False
    watch.event("one dies", watch.agree)
    for node in watch.running():
        node.running = node.data_centre != LOST
    watch.event("a data centre is lost", watch.agree)
    network.is_blocked = lambda one, two: (one.data_centre in REGION) != (two.data_centre in REGION)
    watch.event("regions are cut", lambda: _regions_know(watch))
    watch.run(CUT_S)
    network.is_blocked = lambda one, two: False
    watch.event(f"regions heal after {CUT_S:.0f} s", watch.agree)


def _all_see(watch: Watch, changed: Node) -> bool:
    states = (node.states().get(changed.name) for node in watch.running())
    return all(state is MemberState.DRAINING for state in states)


def _all_report(watch: Watch, revision: int) -> bool:
    return all(
        member.revision == revision
        for node in watch.running()
        for member in node.core.view.members()
    )


def _regions_know(watch: Watch) -> bool:
    sizes = Counter(node.data_centre in REGION for node in watch.running())
    return all(
        len(node.core.view.live()) == sizes[node.data_centre in REGION] for node in watch.running()
    )


if __name__ == "__main__":
    main()
