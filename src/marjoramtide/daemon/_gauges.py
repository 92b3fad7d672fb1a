"""The gauges of a node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marjoramtide.telemetry import log_output

if TYPE_CHECKING:
    from marjoramtide.daemon._node import Node


def node_gauges(node: Node) -> dict[str, float]:
    """Return the present values of a node's gauges by name."""
    now = node.clock.monotonic()
    report = node.serving.report(now)
    tracker = node.server.statements.tracker
    return {
        "members": len(node.membership.members()),
        "settings.revision": node.view.revision,
        "settings.current": node.view.is_current,
        "ingress.in_progress": node.ingress.in_progress,
        "ingress.connections": node.ingress.connection_count,
        "ingress.held_bytes": node.ingress.held_bytes,
        "serving.in_use": report.in_use,
        "serving.queued": report.queued_urgent + report.queued_routine,
        "serving.limit": report.limit,
        "serving.accepts": report.accepts,
        "serving.slowdown": report.slowdown,
        "serving.named_rate": -1.0 if tracker.rate_per_s is None else tracker.rate_per_s,
        "serving.leaving": tracker.leaving,
        "serving.connections": len(node.transport.connections),
        "serving.registrations_refused": node.server.refused_registrations,
        "quarantine.held": len(node.quarantine.policy.held(now)),
        "quarantine.suspects": len(node.quarantine.policy),
        "workspaces": len(node.view.workspaces),
        "settings.vouches_for_keys": node.view.can_accept_keys,
        "quota.pools": len(node.quotas.pools.pools),
        "evacuations": len(node.evacuations.in_force),
        "store.epoch": node.store.epoch,
        "store.calls": node.store.calls_made,
        "store.check_age_s": node.store_checker.age_s,
        "store.checks": node.store_checker.own_checks,
        "store.unreadable": node.store.unreadable,
        "log.lines_lost": log_output.lost_lines,
        "freezes": node.freeze_detector.count,
    }
