"""Steps for quotas, without a network."""

from typing import Any

import attrs
from behave import given, step, then, use_step_matcher, when  # type: ignore[attr-defined]

from bench.quota import QuotaFigures, QuotaPlan, simulate_quota
from bench.quota.__main__ import plan_of
from bench.quota._play import LIMIT_RATIO
from marjoramtide.policy.quota import FleetShares, QuotaAccount, make_quota_pool
from marjoramtide.policy.quota._fleet_shares import RETENTION_S

use_step_matcher("parse")

ARRIVALS = {
    "through all nodes": "spread",
    "through one node": "one",
    "through another node each second": "moving",
}
FAULTS = {
    "the owner of its quota crashes": "owner ends",
    "the owner restarts": "owner starts again",
    "all nodes restart in turn": "all start again in turn",
    "all nodes restart at once": "all start again at once",
    "the owner is suspended": "owner stands still",
    "a third of the nodes is partitioned": "a third is cut off",
    "half of the nodes crash": "half end",
    "its limit falls": "limit falls",
}
# A seed with which nodes that don't know each other yet grant far too many tokens.
SEEDS = {"all start again at once": 3}
EXCESS = 0.1
SLACK = 20.0


@given("quotas on {nodes:d} nodes")
def given_fleet(context: Any, nodes: int) -> None:
    context.plan = plan_of(nodes)


@given("a workspace of {limit:d} requests a second on {nodes:d} nodes")
def given_small(context: Any, limit: int, nodes: int) -> None:
    context.plan = QuotaPlan(
        nodes, workspaces=1, per_s=limit / LIMIT_RATIO, surge_factor=4 * LIMIT_RATIO, seconds=20
    )


@when("it sends four times its limit through all nodes")
def when_above_limit(context: Any) -> None:
    context.figures = simulate_quota(context.plan)


@when("its largest workspace sends requests {entry_pattern}")
def when_sends(context: Any, entry_pattern: str) -> None:
    entry_pattern, _, fault = entry_pattern.partition(" while ")
    fault_name = FAULTS.get(fault, "")
    plan = attrs.evolve(
        context.plan,
        entry_pattern=ARRIVALS[entry_pattern],
        fault=fault_name,
        seed=SEEDS.get(fault_name, 1),
    )
    context.figures = simulate_quota(plan)


@then("no workspace has more than its limit, 10 in 100 and 20 requests in any 5 s")
def then_within(context: Any) -> None:
    figures: QuotaFigures = context.figures
    assert figures.excess <= EXCESS * figures.limit + SLACK, figures


@step("at least {share:d} in 100 of what is allowed is admitted, also for small workspaces")
def then_nearly_all(context: Any, share: int) -> None:
    figures: QuotaFigures = context.figures
    assert min(figures.served, figures.small_served) * 100 >= share, figures


@given("an account with {count:d} tokens that were requested at {at:f} s")
def given_account(context: Any, count: int, at: float) -> None:
    context.account = QuotaAccount()
    context.account.add_lease(count, at)


@then("it has {count:d} tokens at {at:f} s")
def then_has(context: Any, count: int, at: float) -> None:
    assert context.account.tokens.count(at) == count


@given("a pool of {rate:d} a second and a burst of {burst:d}, owned for {known:f} s")
def given_pool(context: Any, rate: int, burst: int, known: float) -> None:
    context.pool = make_quota_pool(rate, burst, known, 100.0)


@then("it leases {count:d} of {wanted:d} tokens")
def then_leases(context: Any, count: int, wanted: int) -> None:
    assert context.pool.lease(wanted, 100.0) == count


@given("{nodes:d} nodes in each of 2 data centres")
def given_data_centres(context: Any, nodes: int) -> None:
    context.shares = FleetShares()
    for place in ("east", "west"):
        for number in range(nodes):
            context.shares.node_seen(f"{place}-{number}", place)


@when("one data centre becomes unreachable")
def when_unreachable(context: Any) -> None:
    for address in [each for each, place in context.shares.present.items() if place == "east"]:
        context.shares.node_lost(address, 100.0)


@then("the share of the other one is 0.5 for 60 s, and 1.0 after that")
def then_half(context: Any) -> None:
    assert context.shares.share("west", 100.0 + RETENTION_S - 1) == 0.5
    assert attrs.evolve(context.shares).share("west", 100.0 + RETENTION_S + 1) == 1.0


@when("one of its nodes announces that it leaves")
def when_leaves(context: Any) -> None:
    for address in list(context.shares.unreachable):
        context.shares.node_left(address)


@then("the share of the other one is {share:f}")
def then_share(context: Any, share: float) -> None:
    assert context.shares.share("west", 101.0) == share
