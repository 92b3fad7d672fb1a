"""Steps for traffic between data centres."""

from typing import Any

from behave import then  # type: ignore[attr-defined]

from features.gossip_scenarios import running_nodes
from marjoramtide.membership import MemberState


@then("of the bytes of the next {seconds:d} seconds at most 1 in {share:d} leave their data centre")
def few_leave(context: Any, seconds: int, share: int) -> None:
    network = context.network
    network.sent.clear()
    network.run(seconds)
    places = {node.address: node.data_centre for node in network.nodes.values()}
    total = sum(len(data) for _, _, data in network.sent)
    across = sum(len(data) for a, b, data in network.sent if places[a] != places[b])
    assert 0 < across * share <= total, (across, total)


@then(
    'every other running node holds membership node {number:d} as "{state}" '
    "within {limit_ms:d} ms"
)
def all_hold(context: Any, number: int, state: str, limit_ms: int) -> None:
    name, wanted = f"node-{number}", MemberState(state)
    others = [node for node in running_nodes(context) if node.name != name]

    def known() -> bool:
        return all(node.states().get(name) is wanted for node in others)

    took = context.network.run_until(known, 5.0)
    assert took * 1000 <= limit_ms, took
