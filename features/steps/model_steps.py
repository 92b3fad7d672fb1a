"""Steps for the simulation of fleets in virtual time."""

import tempfile
from pathlib import Path
from typing import Any

import attrs
from behave import given, then, when

from bench.model._comparison import difference
from bench.model._deployment import Deployment
from bench.model._deployment_file import load_deployment
from bench.model._experiment import Run
from bench.model._fault_plan import FaultPlan
from bench.model._kind_plan import KindPlan
from bench.model._neighbours import Neighbours
from bench.model._play import simulate_deployment
from bench.model._service_plan import ServicePlan

NEIGHBOURS = Neighbours(share=0.3, factor=4.0, stretch_s=0.2)
FILE = """
name = "two"
data_centres = 1
{rate} = 20.0
[[services]]
{name}servers = [2]
neighbours = {{ share = {share}, factor = 3.0, stretch_s = 0.3 }}
[[kinds]]
name = "lookup"
split = {{ {split} = 1 }}
work_ms = 50.0
goal_ms = 200.0
deadline_ms = 800.0
rate = 1.0
"""
VALID = {"rate": "rate_per_s", "name": 'name = "shop"\n', "share": 0.3, "split": "shop"}
MISTAKES = {
    "an unknown key": {"rate": "rate_per_sec"},
    "a share above 0.9": {"share": 1.5},
    "a service without a name": {"name": ""},
    "a split to nowhere": {"split": "nowhere"},
}


def deployment(seconds: float, *faults: FaultPlan) -> Deployment:
    service = ServicePlan("shop", (2, 2), slots=8, neighbours=NEIGHBOURS)
    kind = KindPlan(
        "lookup", {"shop": 1}, work_ms=80, goal_ms=250, deadline_ms=800, rate=1.0, spread=0.3
    )
    return Deployment("shops", 2, (service,), (kind,), 90.0, seconds, faults=faults)


@given("a deployment of 4 servers with neighbours that is simulated for {seconds:d} seconds")
def step_deployment(context: Any, seconds: int) -> None:
    context.deployment = deployment(seconds)


@given("a deployment of 4 servers whose nodes all crash at second 3 and restart")
def step_crashing(context: Any) -> None:
    context.deployment = deployment(10.0, FaultPlan("restart", 3.0, for_s=0.5, share=1.0))


@when("it is simulated twice with seed 1")
def step_twice(context: Any) -> None:
    context.results = [simulate_deployment(context.deployment, 1, {}) for _ in range(2)]


@when("it is simulated under the default policy and under the oracle")
def step_oracle(context: Any) -> None:
    context.results = [
        simulate_deployment(context.deployment, 1, changes) for changes in ({}, None)
    ]


@when("it is simulated under the default policy")
def step_once(context: Any) -> None:
    context.figures = simulate_deployment(context.deployment, 1, {})


@then("both simulations have the same figures")
def step_same(context: Any) -> None:
    first, second = map(attrs.asdict, context.results)
    assert first == second, (first, second)


@then("random selection does no better than the default policy, on seeds 1 to 3")
def step_verdict(context: Any) -> None:
    pairs = [
        tuple(
            Run("shops", seed, simulate_deployment(context.deployment, seed, changes))
            for changes in ({"selector": "random"}, {})
        )
        for seed in (1, 2, 3)
    ]
    assert difference("in_goal", pairs).mean >= 0, difference("in_goal", pairs)


@then("the oracle answers more within the goal")
def step_bound(context: Any) -> None:
    own, oracle = context.results
    assert oracle.in_goal > own.in_goal, (own.in_goal, oracle.in_goal)


@then("requests of that moment have failed and those of the last seconds are served")
def step_lost(context: Any) -> None:
    assert any(
        "Connection" in reason for reason in context.figures.reasons
    ), context.figures.reasons
    # If the nodes did not restart, only three seconds in ten would have been served.
    assert context.figures.served > 0.6, context.figures


@given("a deployment file with {mistake}")
def step_file(context: Any, mistake: str) -> None:
    context.invalid_text = FILE.format(**VALID | MISTAKES[mistake])


@then('reading it fails and names "{named}"')
def step_refused(context: Any, named: str) -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "deployment.toml"
        path.write_text(FILE.format(**VALID))
        load_deployment(path)
        path.write_text(context.invalid_text)
        try:
            load_deployment(path)
        except ValueError as error:
            assert named in str(error) and str(path) in str(error), error
        else:
            raise AssertionError("the invalid file was accepted")
