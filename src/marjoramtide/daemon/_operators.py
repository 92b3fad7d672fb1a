"""What a node shows to its operators."""

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
    """Return the view of a node that the operators' API is given."""
    return NodeHandle(
        settings=node.settings_service,
        directory=node.membership,
        status=lambda: node_status(node),
        explain=node.dispatcher.explain,
        trace=lambda trace_id: [attrs.asdict(span) for span in node.tracer.spans_of(trace_id)],
        drain=node.drain,
        held=node.quarantine.shown,
        release=node.quarantine.release,
        evacuated=node.evacuations.shown,
        evacuate=node.evacuations.evacuate,
        take_back=node.evacuations.release,
        workspaces=lambda: shown_workspaces(node),
    )


def shown_workspaces(node: Node) -> list[dict[str, Any]]:
    """Return what a node knows of each workspace, its keys by fingerprint."""
    now = node.clock.monotonic()
    short = node.serving.admission.workspaces_over_share(now)
    return [
        {
            "name": each.name,
            "keys": [key_fingerprint(digest) for digest in each.key_digests],
            "limit_per_s": each.requests_per_s,
            "burst": each.request_burst,
            "short": each.name in short,
        }
        | node.quotas.shown(each.name)
        for each in node.view.workspaces
    ]


def node_status(node: Node) -> dict[str, Any]:
    """Return what the parts of a node tell of themselves."""
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
        "held_requests": len(node.quarantine.shown()),
        "freezes": node.freeze_detector.count,
        "totals": dict(node.metrics.totals),
        "log_lines_lost": log_output.lost,
        "gossip": attrs.asdict(node.membership.counters),
    }
