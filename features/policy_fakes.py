"""Harnesses for selectors and admissions, with a manual clock and a fixed random seed."""

import itertools
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

from marjoramtide.exchange import LoadReport
from marjoramtide.membership import Member, MemberState
from marjoramtide.policy import (
    Admission,
    CallProfile,
    Decision,
    Selector,
    Verdict,
    make_selector,
)
from marjoramtide.settings import RouteSettings

START = 1000.0
LOOKUP = CallProfile(urgent=False, idempotent=True, deadline=START + 1e6)


def make_member(node: str, data_centre: str = "nadi-hall") -> Member:
    address = "127.0.0.1:1"
    return Member(
        node, "mapdesk", "viti-west", data_centre, address, address, address, MemberState.READY
    )


def new_selector(members: list[Member], seed: int = 1, **settings: Any) -> Selector:
    own = make_member("ingress")
    selector = make_selector(RouteSettings(**settings), own, random.Random(seed))
    selector.update_members(members, START)
    return selector


class Ingress:
    """A selector with its clock; answers carry the load that a scenario gives."""

    def __init__(self, members: list[Member], seed: int = 1) -> None:
        self.members = members
        self.selector = new_selector(members, seed)
        self.now = START
        self.sequence = itertools.count(1)

    def answer(self, node: str, elapsed_ms: float = 20.0, ok: bool = True, **load: Any) -> None:
        """Send a request to ``node`` and answer it ``elapsed_ms`` later."""
        self.selector.sent(node, self.now)
        self.now += elapsed_ms / 1000
        self.receive_answer(node, elapsed_ms, ok, **load)

    def receive_answer(
        self, node: str, elapsed_ms: float = 20.0, ok: bool = True, **load: Any
    ) -> None:
        values = {"in_use": 2, "limit": 10, "service_time_ms": 20.0} | load
        values.setdefault("sequence", next(self.sequence))
        self.selector.answered(node, LoadReport(**values), elapsed_ms, ok, self.now)

    def warm_up(self) -> None:
        for _, member in itertools.product(range(5), self.members):
            self.answer(member.node)

    def shares(self, count: int, profile: CallProfile = LOOKUP) -> Counter[str | None]:
        chosen = Counter(self.selector.choose(profile, self.now) for _ in range(count))
        return Counter({node: times / count for node, times in chosen.items()})

    def traffic(self, seconds: float, profile: CallProfile = LOOKUP) -> Counter[str | None]:
        """Send 100 requests a second, each answered after 20 ms; count them by node."""
        counts: Counter[str | None] = Counter()
        for _ in range(int(seconds * 100)):
            node = self.selector.choose(profile, self.now)
            counts[node] += 1
            if node is not None:
                self.answer(node, 20.0)
            self.now -= 0.010
        return counts

    def ejected(self) -> list[object]:
        return [row["node"] for row in self.selector.explain(self.now) if row["ejected"]]


class Serving:
    """An admission with its clock and the requests offered to it."""

    def __init__(self, admission: Admission) -> None:
        self.admission = admission
        self.now = START
        self.tickets = itertools.count(1)
        self.offered: dict[int, tuple[str, int]] = {}
        self.running: list[int] = []
        self.queued: set[int] = set()
        self.took = 0.0

    def offer(self, kind: str, due_ms: int) -> Decision:
        ticket = next(self.tickets)
        self.offered[ticket] = (kind, due_ms)
        attempt = 2 if kind == "second-attempt" else 1
        due = self.now + due_ms / 1000
        profile = CallProfile(
            kind == "urgent",
            True,
            due,
            attempt,
            goal=self.now if kind == "overdue" else float("inf"),
            rank=0 if kind == "first-rank" else 1,
            is_call=kind == "call",
        )
        decision = self.admission.offer(ticket, profile, self.now)
        if decision.verdict is Verdict.START:
            self.running.append(ticket)
        elif decision.verdict is Verdict.QUEUE:
            self.queued.add(ticket)
        return decision

    def finish_oldest(self, took_ms: float, succeeded: bool = True) -> list[int]:
        ticket = self.running.pop(0)
        started = self.admission.finished(ticket, self.now, took_ms, succeeded)
        self.running += started
        self.queued -= set(started)
        return started

    def run_one(self, kind: str, took_ms: float, succeeded: bool = True) -> None:
        self.offer(kind, 100_000)
        self.now += took_ms / 1000
        self.finish_oldest(took_ms, succeeded)

    def saturate(self, took_ms: Callable[[int], float], count: int) -> None:
        """Keep the server full until ``count`` requests have completed."""
        for _ in range(count):
            while self.offer("second-attempt", 100_000).verdict is Verdict.START:
                pass
            self.took = took_ms(len(self.running))
            self.now += self.took / len(self.running) / 1000
            self.finish_oldest(self.took)

    def report(self) -> LoadReport:
        return self.admission.report(self.now)
