"""Measures membership during restarts, failures and partitions, in virtual time.

The protocol core of every member runs over an in-memory network with virtual time, so a fleet of
790 fits into one process; CPU time has no meaning here and is not printed. For each event the tool
prints the time until every member knew, and the most that one member sent in any one second.
``python -m bench.control_events 790`` takes some minutes.
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
SETTLING_S = 20.0
PARTITION_S = 120.0
TIMEOUT_S = 90.0
STEP_S = 0.25
HEADER_BYTES = 28


class EventRecorder:
    """Drives the network and counts the bytes sent by each member in each second."""

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

    def measure_event(self, name: str, condition: Callable[[], bool]) -> None:
        """Run until ``condition`` holds and for some seconds more, then print the event's line."""
        real_start, clock = time.monotonic(), self.network.clock
        start, refutations_before = clock.now, self.refutations()
        self.seconds.clear()
        while not condition() and clock.now - start < TIMEOUT_S:
            self.run(STEP_S)
        took = clock.now - start
        self.run(SETTLING_S - took % 1)
        peak = max(self.seconds.values()) if self.seconds else 0
        mean = sum(self.seconds.values()) / len(self.running()) / (clock.now - start)
        verdict = f"{took:6.2f} s" if took < TIMEOUT_S else "not in time"
        print(
            f"{name:34}{verdict:>12}{peak / 1000:10.1f}{mean / 1000:10.2f}"
            f"{self.refutations() - refutations_before:9}{time.monotonic() - real_start:8.0f}",
            flush=True,
        )

    def refutations(self) -> int:
        return sum(node.core.counters.refutations for node in self.running())

    def has_converged(self) -> bool:
        """Tell whether every running member knows exactly the running members."""
        nodes = self.running()
        return all(len(node.core.view.live()) == len(nodes) for node in nodes)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("members", type=int, nargs="?", default=100)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    recorder = EventRecorder(options.members, options.seed)
    network = recorder.network
    print(f"{options.members} members, seed {options.seed}")
    print(
        f"{'event':34}{'all know':>12}{'peak kB/s':>10}{'mean kB/s':>10}{'refuted':>9}{'ran s':>8}"
    )
    recorder.measure_event("all start at once", recorder.has_converged)
    recorder.measure_event("nothing happens", lambda: True)
    changed = recorder.running()[1]
    changed.core.set_state(MemberState.DRAINING)
    network.flush(changed)
    recorder.measure_event("one drains", lambda: _all_see(recorder, changed))
    for node in recorder.running():
        node.core.set_settings(7, "f" * 32)
        network.flush(node)
    recorder.measure_event("all report a settings revision", lambda: _all_report(recorder, 7))
    recorder.running()[2].running = False
    recorder.measure_event("one dies", recorder.has_converged)
    for node in recorder.running():
        node.running = node.data_centre != LOST
    recorder.measure_event("a data centre is lost", recorder.has_converged)
    network.blocked = lambda one, two: (one.data_centre in REGION) != (two.data_centre in REGION)
    recorder.measure_event("regions are cut", lambda: _regions_know(recorder))
    recorder.run(PARTITION_S)
    network.blocked = lambda one, two: False
    recorder.measure_event(f"regions heal after {PARTITION_S:.0f} s", recorder.has_converged)


def _all_see(recorder: EventRecorder, changed: Node) -> bool:
    states = (node.states().get(changed.name) for node in recorder.running())
    return all(state is MemberState.DRAINING for state in states)


def _all_report(recorder: EventRecorder, revision: int) -> bool:
    return all(
        member.revision == revision
        for node in recorder.running()
        for member in node.core.view.members()
    )


def _regions_know(recorder: EventRecorder) -> bool:
    sizes = Counter(node.data_centre in REGION for node in recorder.running())
    return all(
        len(node.core.view.live()) == sizes[node.data_centre in REGION]
        for node in recorder.running()
    )


if __name__ == "__main__":
    main()
