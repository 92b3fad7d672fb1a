"""Steps for overloaded servers, in virtual time."""

from typing import Any

from behave import given, then, when  # type: ignore[attr-defined]

from bench.model._deployment import Deployment
from bench.model._kind_plan import KindPlan
from bench.model._play import simulate_deployment
from bench.model._service_plan import ServicePlan

SLOTS = 8
GOAL_MS = 600.0
DEADLINE_MS = 2500.0
SECONDS = 12.0
SEED = 1


@given("{servers:d} servers whose work of {work_ms:d} ms deviates by {spread:d} in 100")
def given_servers(context: Any, servers: int, work_ms: int, spread: int) -> None:
    context.service = ServicePlan("desk", (servers,), slots=SLOTS)
    context.work_ms = float(work_ms)
    context.spread = spread / 100


@when("lookups arrive at {load:d} in 100 of their capacity")
def when_overloaded(context: Any, load: int) -> None:
    rate = load / 100 * context.service.servers[0] * SLOTS / (context.work_ms / 1000)
    kind = KindPlan(
        "lookup",
        {"desk": 1},
        context.work_ms,
        GOAL_MS,
        DEADLINE_MS,
        rate,
        rank=0,
        spread=context.spread,
    )
    day = Deployment("desk", 1, (context.service,), (kind,), rate, SECONDS)
    context.figures = simulate_deployment(day, SEED, {})


@then("at least {share:d} in 100 of the lookups are answered within the goal")
def then_in_goal(context: Any, share: int) -> None:
    assert context.figures.in_goal * 100 >= share, context.figures
