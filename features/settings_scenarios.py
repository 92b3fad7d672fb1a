"""Helpers for steps on the settings of a fleet: nodes, changes, and the passing of time."""

from typing import Any

import attrs

from features.settings_fakes import STEP_S, Node
from marjoramtide.errors import MarjoramtideError
from marjoramtide.settings import Edit, EditAction, Envelope, decode_envelope
from marjoramtide.settings.sync import ChangeRequest, Progress

TREE = "settings/tree"
WAIT_S = 5.0


def make_request(
    context: Any, node: Node, *edits: Edit, wait_s: float = WAIT_S, **options: Any
) -> ChangeRequest:
    return ChangeRequest(
        author=f"operator at {node.member.node}",
        base=node.service.view.revision,
        edits=edits,
        wait_s=wait_s,
        **options,
    )


def set_slots(branch: str, value: Any, key: str = "slots") -> Edit:
    return Edit(EditAction.SET, branch, key, value)


async def submit_change(context: Any, node: Node, request: ChangeRequest) -> Any:
    """Return the result that the operator gets: an outcome or an error."""

    def report(progress: Progress) -> None:
        context.progress_messages.append(progress.message)

    try:
        return await node.service.change(request, report)
    except MarjoramtideError as error:
        return error


def make_change(context: Any, name: str, *edits: Edit, **options: Any) -> None:
    node = context.fleet.nodes[name]
    context.request = make_request(context, node, *edits, **options)
    began = context.fleet.clock.monotonic()
    context.outcome = context.fleet.run(submit_change(context, node, context.request))
    context.duration_s = context.fleet.clock.monotonic() - began


def stored_envelope(context: Any) -> Envelope:
    return decode_envelope(context.fleet.store.objects[TREE].value)


def write_tree(context: Any, text: str) -> None:
    """Write the next revision as another program would."""
    store = context.fleet.store
    envelope = attrs.evolve(
        stored_envelope(context),
        revision=stored_envelope(context).revision + 1,
        text=text,
        change="other",
    )
    store.apply(TREE, envelope.encode(), store.objects[TREE].version)


def join(context: Any, names: str, region: str = "west", data_centre: str = "north") -> None:
    for name in names.split(", "):
        context.fleet.start(context.fleet.add(name, region, data_centre))
    context.fleet.pass_time(4)


def running_nodes(context: Any) -> list[Node]:
    return [node for node in context.fleet.nodes.values() if node.task]


def slots_of(node: Node, service: str = "mapdesk") -> int:
    return node.service.view.route(service, "/").slots


def wait_until(context: Any, seconds: float, holds: Any) -> None:
    for _ in range(round(seconds / STEP_S)):
        if holds():
            return
        context.fleet.pass_time(STEP_S)
    assert holds()
