"""The settings tree of a simulated deployment."""

import json
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from bench.model._deployment import Deployment
from marjoramtide.clock import Clock, FreezeDetector
from marjoramtide.settings import Envelope, Freshness, Locality, TreeSettingsView, parse_tree

BASE_TREE = Path(__file__).resolve().parents[2] / "deploy" / "base-tree.toml"
HOST = "callers"
CONNECTIONS = 250
# The value that operators set on all routes in production.
MAX_ATTEMPTS = 2
# The highest rank; its requests are urgent.
FIRST_RANK = 0


def settings_text(deployment: Deployment, changes: Mapping[str, Any]) -> str:
    """Return the settings tree: the base tree of production, the deployment, then ``changes``."""
    services: dict[str, Any] = {
        service.name: {"hosts": [], "slots": service.slots, "connections": CONNECTIONS}
        for service in deployment.services
    }
    routes = {
        f"/{kind.name}/": {
            "split": kind.split,
            "idempotent": "yes" if kind.idempotent else "no",
            "timeout_ms": round(kind.deadline_ms),
            "max_timeout_ms": round(kind.deadline_ms),
            "goal_ms": round(kind.goal_ms),
            "max_attempts": MAX_ATTEMPTS,
            "priority": "urgent" if kind.rank == FIRST_RANK else "routine",
            "rank": kind.rank,
        }
        for kind in deployment.kinds
    }
    services[HOST] = {"hosts": [HOST], "unmatched": "refuse", "routes": routes}
    bounds = {
        "second_try_ratio": deployment.second_try_ratio,
        "second_tries_per_s": deployment.second_tries_per_s,
    }
    base = tomllib.loads(BASE_TREE.read_text(encoding="utf-8"))
    return json.dumps(base | bounds | dict(changes) | {"services": services})


def make_view(text: str, place: Locality, clock: Clock) -> TreeSettingsView:
    """Return the settings view of one node; raises ``bad-settings``."""
    view = TreeSettingsView(place, Freshness(clock, FreezeDetector(clock)))
    envelope = Envelope(1, HOST, "first", HOST, 0.0, "", [], text)
    view.install(envelope, parse_tree(text, [place]))
    return view
