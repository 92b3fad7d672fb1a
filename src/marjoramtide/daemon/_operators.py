"""The operators' view of a node."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from marjoramtide import __version__
from marjoramtide.operators import NodeHandle
from marjoramtide.settings import key_fingerprint
from marjoramtide.telemetry import log_output

if TYPE_CHECKING:
    from marjoramtide.daemon._node import Node


def make_node_handle(node: Node) -> NodeHandle:
    """Return the handle through which the operators' API reads and controls a node."""
    return NodeHandle(
        settings=node.settings_service,
        directory=node.membership,
        status=lambda: node_status(node),
        explain=node.dispatcher.explain,
        trace=lambda trace_id: [attrs.asdict(span) for span in node.tracer.spans_of(trace_id)],
        drain=node.drain,
        list_held_requests=node.quarantine.list_held,
        release_request=node.quarantine.release,
        list_evacuations=node.evacuations.list_in_force,
        evacuate=node.evacuations.evacuate,
        release_evacuation=node.evacuations.release,
        list_workspaces=lambda: describe_workspaces(node),
    )


def describe_workspaces(node: Node) -> list[dict[str, Any]]:
    """Return the limits and usage of each workspace, with its keys by fingerprint."""
    now = node.clock.monotonic()
    over_share = node.serving.admission.workspaces_over_share(now)
    return [
        {
            "name": workspace.name,
            "keys": [key_fingerprint(digest) for digest in workspace.key_digests],
            "limit_per_s": workspace.requests_per_s,
            "burst": workspace.request_burst,
            "short": workspace.name in over_share,
        }
        | node.quotas.usage(workspace.name)
        for workspace in node.view.workspaces
    ]


def node_status(node: Node) -> dict[str, Any]:
    """Return the status fields of the node's components."""
    report = node.serving.report(node.clock.monotonic())
    return {
        "version": __version__,
        "backend": str(node.server.state or "unknown"),
        "drained_by_operator": node.drained_by_operator,
        "evacuated": sorted(node.evacuations.in_force),
        "store_epoch": node.store.epoch,
        "callers_requests": node.ingress.in_progress,
        "load": attrs.asdict(report),
        "stated": attrs.asdict(node.server.statements.statement),
        "held_requests": len(node.quarantine.list_held()),
        "freezes": node.freeze_detector.count,
        "totals": dict(node.metrics.totals),
        "log_lines_lost": log_output.lost_lines,
        "gossip": attrs.asdict(node.membership.counters),
    }
