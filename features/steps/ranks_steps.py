"""Steps for ranks under overload, in virtual time."""

from typing import Any

from behave import given, then, when

from bench.model._call_plan import CallPlan
from bench.model._deployment import Deployment
from bench.model._kind_plan import KindPlan
from bench.model._play import simulate_deployment
from bench.model._service_plan import ServicePlan

SLOTS = 8
HUBS = 2
CALL_MS = 30.0
LOOKUP_MS = 40.0
SECONDS = 12.0
SEED = 2


@given("{desks:d} desks whose routine reads call a hub twice, and a hub for urgent lookups")
def given_hub(context: Any, desks: int) -> None:
    context.services = (
        ServicePlan("desk", (desks,), slots=2 * SLOTS),
        ServicePlan("hub", (HUBS,), slots=SLOTS),
    )


@when("reads load the hub to {reads:d} in 100 of its capacity, and lookups to {lookups:d} in 100")
def when_loaded(context: Any, reads: int, lookups: int) -> None:
    capacity_ms = HUBS * SLOTS * 1000
    reads_per_s = reads / 100 * capacity_ms / (2 * CALL_MS)
    lookups_per_s = lookups / 100 * capacity_ms / LOOKUP_MS
    calls = (CallPlan("sync", 2, 1.0, True),)
    kinds = (
        KindPlan("read", {"desk": 1}, 90, 300, 800, reads_per_s, rank=2, calls=calls),
        KindPlan("lookup", {"hub": 1}, LOOKUP_MS, 120, 400, lookups_per_s, rank=0, worth=2),
        KindPlan("sync", {"hub": 1}, CALL_MS, 100, 250, rank=0),
    )
    rate = reads_per_s + lookups_per_s
    day = Deployment("hub", 1, context.services, kinds, rate, SECONDS)
    context.figures = simulate_deployment(day, SEED, {})


@then("at least {share:d} in 100 of the urgent lookups are answered within the goal")
def then_lookups(context: Any, share: int) -> None:
    assert context.figures.kinds["lookup"] * 100 >= share, context.figures


@then("at least {share:d} in 100 of the reads are")
def then_reads(context: Any, share: int) -> None:
    assert context.figures.kinds["read"] * 100 >= share, context.figures
